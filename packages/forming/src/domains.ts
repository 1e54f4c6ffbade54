/**
 * The domains of the services, each with its desired state (the placement) and its actual one (the listed engines). Owns the
 * cached placements with their versions: as long as this process is the only planner, nothing else changes the stored ones.
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
  /** The version of the placement in the store; 0 where it is not stored yet. */
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
  /** The engines that are not listed and are kept. */
  readonly unlisted?: () => readonly Upstream[]
  /** Called when a placement can't be read, once until one is read again. */
  readonly failed: (error: Error) => void
}

/** Reads domains and their placements, and stores new placements. */
export class Domains {
  readonly #options: DomainsOptions
  readonly #known = new Map<string, Domain>()
  /** The epoch that an engine showed when a domain's placement was read again for it, by domain. */
  readonly #readFor = new Map<string, number>()
  /** Domains whose placement could not be read when it was last tried. */
  readonly #unreadable = new Set<string>()
  /** Domains whose placement is being written. */
  readonly #writing = new Set<string>()

  constructor (options: DomainsOptions) {
    this.#options = options
  }

  /** Every replica of the domains that were read. */
  get replicas (): PlannedReplica[] {
    return [...this.#known.values()].flatMap(each => each.placement.replicas)
  }

  /**
   * The domains of a service whose placements can be read, in the order in which the roster first names them. All that have to be read are
   * read at the same time: a planner that takes over 20 domains while the store takes 240 ms begins after one such time, not after 5 s.
   */
  async read (service: Service): Promise<Domain[]> {
    const groups = [...this.#group(service.name)]
    const read = await Promise.all(groups.map(async ([name, upstreams]) => await this.#readOne(service.name, domainKey(service.name, name), upstreams)))
    return read.filter(each => each !== undefined)
  }

  async #readOne (service: string, key: string, upstreams: readonly Upstream[]): Promise<Domain | undefined> {
    const shown = Math.max(0, ...upstreams.map(each => each.membership?.epoch ?? 0))
    const cached = this.isWriting(key) || !this.#isOutdated(key, shown) ? this.#known.get(key) : undefined
    const known = cached ?? await this.#load(key)
    if (known === undefined) return undefined
    const domain = { key, service, upstreams, placement: known.placement, version: known.version }
    this.#known.set(key, domain)
    return domain
  }

  /** Whether a domain's placement is being written: what it will be is not known, so the domain is not planned. */
  isWriting (key: string): boolean {
    return this.#writing.has(key)
  }

  /** Whether a domain's placement is still the stored one. If not, or if that cannot be known, it is read again at the next look. */
  async isCurrent ({ key, version }: Domain): Promise<boolean> {
    const read = await this.#options.placements.read(key)
    if (read.isOk() && read.value.version === version) return true
    this.#known.delete(key)
    return false
  }

  /** Stores a new placement of a domain. Returns whether it is known to be stored. */
  async write (domain: Domain, placement: Placement): Promise<boolean> {
    this.#writing.add(domain.key)
    const written = await this.#options.placements.write(placement, domain.version).finally(() => this.#writing.delete(domain.key))
    if (written.isErr()) {
      // Another planner was first, or the write may have been done: what is stored is read again at the next look.
      this.#known.delete(domain.key)
      return false
    }
    // A domain that was forgotten meanwhile is read again when it is needed.
    if (this.#known.has(domain.key)) this.#known.set(domain.key, { ...domain, placement, version: written.value })
    return true
  }

  /** Forgets the domains of a service, which another process may change from now on. */
  forget (service: string): void {
    for (const [key, domain] of this.#known) if (domain.service === service) this.#known.delete(key)
  }

  /**
   * Whether a cached placement has been replaced by another planner: an engine is in a later replica than any that it holds. True
   * once for each epoch, since engines may also be in replicas that nobody planned.
   */
  #isOutdated (key: string, shown: number): boolean {
    const known = this.#known.get(key)
    if (known === undefined || shown <= known.placement.epoch || shown === this.#readFor.get(key)) return false
    this.#readFor.set(key, shown)
    return true
  }

  /** The engines of a service by domain. */
  #group (service: string): Map<string, Upstream[]> {
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
