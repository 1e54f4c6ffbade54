/**
 * The elections of this gateway, one for each service whose replicas it may plan. Owns them, and which services it leads, for the log.
 * Relies on `Leadership` for who may stand.
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
  /** The gateways that say that they lead a service. */
  readonly others: () => readonly KnownLeader[]
  /** Called when this gateway was elected, or has lost an election. */
  readonly changed: () => void
}

/** The elections of one gateway. */
export class Elections {
  readonly #options: ElectionsOptions
  readonly #elections = new Map<string, Election>()
  /** Services that this gateway led when they were last asked for. */
  readonly #led = new Set<string>()

  constructor (options: ElectionsOptions) {
    this.#options = options
  }

  /** Whether this gateway led any service when that was last asked. */
  get leading (): boolean {
    return this.#led.size > 0
  }

  /** Whether this gateway was elected for any service. */
  get elected (): boolean {
    return [...this.#elections.values()].some(each => each.term !== undefined)
  }

  /** The services for which this gateway was elected, each with its term. */
  get terms (): Record<string, number> {
    const terms: Record<string, number> = {}
    for (const [service, { term }] of this.#elections) if (term !== undefined) terms[service] = term
    return terms
  }

  /** Whether this gateway leads a service now. Logs each change. */
  leads (service: string): boolean {
    const { eligible } = this.#options
    const election = this.#of(service)
    election.look()
    const leads = election.term !== undefined && eligible()
    if (leads !== this.#led.has(service)) this.#changed(service, leads, election.term)
    return leads
  }

  /** Another gateway has changed what this one plans: it may have been replaced. */
  async contested (service: string): Promise<void> {
    await this.#of(service).check()
  }

  /** Gives up every service, at a planned stop. */
  resign (): void {
    for (const election of this.#elections.values()) election.resign()
  }

  #changed (service: string, leads: boolean, term: number | undefined): void {
    const { log, candidates } = this.#options
    const able = candidates().length
    if (leads) log.write('planner-acts', { service, able, term })
    else log.write('planner-rests', { service, able })
    if (leads) this.#led.add(service)
    else this.#led.delete(service)
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
      place: () => Math.max(0, candidates().indexOf(id)),
      others: () => others().filter(each => each.service === service),
      changed
    })
    this.#elections.set(service, election)
    return election
  }
}
