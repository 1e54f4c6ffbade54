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
  placement: Placement
  /** The version of the placement in the store; 0 where it is not stored yet. */
  version: number
}

/** Dependencies of `Domains`. */
export interface DomainsOptions {
  readonly roster: Roster
  readonly placements: Placements
  /** Called when a placement can't be read, once until one is read again. */
  readonly failed: (error: Error) => void
}

/** Reads domains and their placements, and stores new placements. */
export class Domains {
  readonly #options: DomainsOptions
  readonly #known = new Map<string, Domain>()
  /** The epoch that an engine showed when a domain's placement was read again for it, by domain. */
  readonly #readFor = new Map<string, number>()
  #unreadable = false

  constructor (options: DomainsOptions) {
    this.#options = options
  }

  /** Every replica of the domains that were read. */
  get replicas (): PlannedReplica[] {
    return [...this.#known.values()].flatMap(each => each.placement.replicas)
  }

  /** The domains of a service, in the order in which the roster first names them. Undefined if a placement can't be read. */
  async read (service: Service): Promise<Domain[] | undefined> {
    const found: Domain[] = []
    for (const [name, upstreams] of this.#group(service.name)) {
      const key = `${service.name}.${name}`
      const shown = Math.max(0, ...upstreams.map(each => each.membership?.epoch ?? 0))
      const known = this.#isOutdated(key, shown) ? await this.#load(key) : this.#known.get(key) ?? await this.#load(key)
      if (known === undefined) return undefined
      const domain = { key, service: service.name, upstreams, placement: known.placement, version: known.version }
      this.#known.set(key, domain)
      found.push(domain)
    }
    return found
  }

  /** Stores a new placement of a domain. Returns whether it is known to be stored. */
  async write (domain: Domain, placement: Placement): Promise<boolean> {
    const written = await this.#options.placements.write(placement, domain.version)
    if (written.isErr()) {
      // Another planner was first, or the write may have been done: what is stored is read again at the next look.
      this.#known.delete(domain.key)
      return false
    }
    domain.placement = placement
    domain.version = written.value
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
    for (const upstream of this.#options.roster.upstreams) {
      if (upstream.service !== service || upstream.domain === undefined) continue
      groups.set(upstream.domain, [...groups.get(upstream.domain) ?? [], upstream])
    }
    return groups
  }

  async #load (key: string): Promise<Pick<Domain, 'placement' | 'version'> | undefined> {
    const read = await this.#options.placements.read(key)
    if (read.isErr()) {
      const error = new Error(`The placement of ${key} can't be read, so its service is not planned: ${read.error}`)
      if (!this.#unreadable) this.#options.failed(error)
      this.#unreadable = true
      return undefined
    }
    this.#unreadable = false
    return read.value
  }
}
