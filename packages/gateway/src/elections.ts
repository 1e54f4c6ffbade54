/**
 * The elections of this gateway, one for each service whose replicas it may plan. Owns the elections, and the set of
 * services that this gateway leads, so that changes can be logged. Relies on `Leadership` for who may stand.
 */
import { type Clock } from '@eiderwind/clock'
import { type Log } from '@eiderwind/log'
import { Election } from './election.js'
import { type KnownLeader } from './fleetview.js'
import { type Leaders } from './leaders.js'

/** Dependencies of `Elections`. */
export interface ElectionsOptions {
  readonly clock: Clock
  readonly log: Log
  readonly leaders: Leaders
  /** This gateway's id. */
  readonly id: string
  /** Whether this gateway may plan now. */
  readonly eligible: () => boolean
  /** Ids of the gateways that may plan, in the order in which they stand. */
  readonly candidates: () => readonly string[]
  /** The gateways that announce that they lead a service. */
  readonly others: () => readonly KnownLeader[]
  /** Called when this gateway was elected, or no longer leads. */
  readonly changed: () => void
}

/** The elections of one gateway. */
export class Elections {
  readonly #options: ElectionsOptions
  readonly #elections = new Map<string, Election>()
  /** Services that this gateway led at the last call of `leads`. */
  readonly #ledServices = new Set<string>()

  constructor (options: ElectionsOptions) {
    this.#options = options
  }

  /** Whether this gateway led any service at the last call of `leads`. */
  get isLeadingAny (): boolean {
    return this.#ledServices.size > 0
  }

  /** Whether this gateway was elected for any service. */
  get isElectedAny (): boolean {
    return [...this.#elections.values()].some(each => each.term !== undefined)
  }

  /** The services for which this gateway is elected, each with its term. */
  get terms (): Record<string, number> {
    const terms: Record<string, number> = {}
    for (const [service, { term }] of this.#elections) if (term !== undefined) terms[service] = term
    return terms
  }

  /** Whether this gateway leads a service now. Updates the election, and logs each change. */
  leads (service: string): boolean {
    const { eligible } = this.#options
    const election = this.#of(service)
    election.update()
    const leads = election.term !== undefined && eligible()
    if (leads !== this.#ledServices.has(service)) this.#recordLeading(service, leads, election.term)
    return leads
  }

  /**
   * Checks the record after another gateway has changed a placement of this service: this gateway may have been
   * replaced.
   */
  async contested (service: string): Promise<void> {
    await this.#of(service).check()
  }

  /** Stops leading every service, at a planned stop. */
  resign (): void {
    for (const election of this.#elections.values()) election.resign()
  }

  #recordLeading (service: string, leads: boolean, term: number | undefined): void {
    const { log, candidates } = this.#options
    const able = candidates().length
    if (leads) log.write('planner-acts', { service, able, term })
    else log.write('planner-rests', { service, able })
    if (leads) this.#ledServices.add(service)
    else this.#ledServices.delete(service)
  }

  #of (service: string): Election {
    const known = this.#elections.get(service)
    if (known !== undefined) return known
    const { clock, leaders, id, eligible, candidates, others, changed } = this.#options
    const election = new Election({
      clock,
      leaders,
      service,
      id,
      eligible,
      position: () => Math.max(0, candidates().indexOf(id)),
      others: () => others().filter(each => each.service === service),
      changed
    })
    this.#elections.set(service, election)
    return election
  }
}
