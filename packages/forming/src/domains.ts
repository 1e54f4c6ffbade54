/**
 * The domains of the services. Each has a desired state (the placement) and an actual state (the listed engines). Owns
 * the cached placements with their versions, and relies on this process being the only planner: then nothing else
 * changes the stored placements.
 */
import { type Roster, type Upstream } from '@eiderwind/roster'
import { type Service } from '@eiderwind/traffic'
import { type Placement, type Placements, type PlannedReplica } from './placement.js'

/** One fabric domain of a service. */
export interface Domain {
  /** `SERVICE.DOMAIN`. */
  readonly key: string
  readonly service: string
  readonly upstreams: readonly Upstream[]
  readonly placement: Placement
  /** The version of the placement in the store; 0 if it is not stored yet. */
  readonly version: number
}

/** The key of a service's domain. */
export function domainKey (service: string, domain: string): string {
  return `${service}.${domain}`
}

/** Dependencies of `Domains`. */
export interface DomainsOptions {
  readonly roster: Roster
  readonly placements: Placements
  /** Engines that are retained although they are not listed. */
  readonly unlisted?: () => readonly Upstream[]
  /** Called when a placement can't be read. It is not called again until every placement that failed can be read. */
  readonly failed: (error: Error) => void
}

/** Reads domains and their placements, and stores new placements. */
export class Domains {
  readonly #options: DomainsOptions
  readonly #cache = new Map<string, Domain>()
  /** The epoch that an engine reported when the placement of its domain was last read again, by domain. */
  readonly #refreshedForEpoch = new Map<string, number>()
  /** Domains whose placement could not be read in the last attempt. */
  readonly #unreadable = new Set<string>()
  /** Domains whose placement is being written. */
  readonly #writing = new Set<string>()

  constructor (options: DomainsOptions) {
    this.#options = options
  }

  /** Every replica of the domains that were read. */
  get replicas (): PlannedReplica[] {
    return [...this.#cache.values()].flatMap(each => each.placement.replicas)
  }

  /**
   * The domains of a service whose placements can be read, in the order in which the roster first names them. All
   * placements that are not cached are read in parallel: with 20 domains and a store that takes 240 ms per call, a new
   * planner begins after 240 ms instead of 5 s.
   */
  async read (service: Service): Promise<Domain[]> {
    const groups = [...this.#groupByDomain(service.name)]
    const read = await Promise.all(groups.map(async ([name, upstreams]) => await this.#readOne(service.name, domainKey(service.name, name), upstreams)))
    return read.filter(each => each !== undefined)
  }

  async #readOne (service: string, key: string, upstreams: readonly Upstream[]): Promise<Domain | undefined> {
    const reportedEpoch = Math.max(0, ...upstreams.map(each => each.membership?.epoch ?? 0))
    const cached = this.isWriting(key) || !this.#isOutdated(key, reportedEpoch) ? this.#cache.get(key) : undefined
    const known = cached ?? await this.#load(key)
    if (known === undefined) return undefined
    const domain = { key, service, upstreams, placement: known.placement, version: known.version }
    this.#cache.set(key, domain)
    return domain
  }

  /**
   * Whether a domain's placement is being written. The domain is not planned meanwhile, because the result of the write
   * is not known.
   */
  isWriting (key: string): boolean {
    return this.#writing.has(key)
  }

  /**
   * Whether a domain's placement is still the stored one. If not, or if the store does not answer, the next pass reads
   * it again.
   */
  async isCurrent ({ key, version }: Domain): Promise<boolean> {
    const read = await this.#options.placements.read(key)
    if (read.isOk() && read.value.version === version) return true
    this.#cache.delete(key)
    return false
  }

  /** Stores a new placement of a domain. Returns whether it is known to be stored. */
  async write (domain: Domain, placement: Placement): Promise<boolean> {
    this.#writing.add(domain.key)
    const written = await this.#options.placements.write(placement, domain.version).finally(() => this.#writing.delete(domain.key))
    if (written.isErr()) {
      // Another planner wrote first, or the write may have succeeded. The next pass reads the stored placement again.
      this.#cache.delete(domain.key)
      return false
    }
    // If the domain was discarded meanwhile, it is read again when it is needed.
    if (this.#cache.has(domain.key)) this.#cache.set(domain.key, { ...domain, placement, version: written.value })
    return true
  }

  /** Discards the cached domains of a service, because another process may change them from now on. */
  forget (service: string): void {
    for (const [key, domain] of this.#cache) if (domain.service === service) this.#cache.delete(key)
  }

  /**
   * Whether another planner has replaced a cached placement: an engine is in a replica with a higher epoch than the
   * placement. True only once for each epoch, because engines may also be in replicas that no planner planned.
   */
  #isOutdated (key: string, reportedEpoch: number): boolean {
    const cached = this.#cache.get(key)
    if (cached === undefined || reportedEpoch <= cached.placement.epoch || reportedEpoch === this.#refreshedForEpoch.get(key)) return false
    this.#refreshedForEpoch.set(key, reportedEpoch)
    return true
  }

  /** The engines of a service, grouped by domain. */
  #groupByDomain (service: string): Map<string, Upstream[]> {
    const groups = new Map<string, Upstream[]>()
    for (const upstream of [...this.#options.roster.upstreams, ...this.#options.unlisted?.() ?? []]) {
      if (upstream.service !== service || upstream.domain === undefined) continue
      groups.set(upstream.domain, [...groups.get(upstream.domain) ?? [], upstream])
    }
    return groups
  }

  async #load (key: string): Promise<Pick<Domain, 'placement' | 'version'> | undefined> {
    const read = await this.#options.placements.read(key)
    if (read.isErr()) {
      const error = new Error(`The placement of ${key} can't be read, so its domain is not planned: ${read.error}`)
      if (this.#unreadable.size === 0) this.#options.failed(error)
      this.#unreadable.add(key)
      return undefined
    }
    this.#unreadable.delete(key)
    return read.value
  }
}
