/**
 * Which upstream a request goes to: the replica head with most room for a model, or the plain upstream that should
 * answer soonest. Relies on the roster for the candidates, on `InFlight` and the peers' heartbeats for their load, and on
 * `Suspects` and `Intake` for upstreams to avoid. When none has room, `waiting.ts` says how long a request waits.
 */
import { type Random } from '@eiderwind/clock'
import { type InFlight, type Suspects } from '@eiderwind/detect'
import { type Heartbeat, type Peers } from '@eiderwind/peers'
import { type Roster, type Upstream } from '@eiderwind/roster'
import { type Engine } from '@eiderwind/traffic'
import { type Intake } from './intake.js'
import { Observations } from './observations.js'

/** Dependencies of `Choice`. */
export interface ChoiceOptions {
  readonly roster: Roster
  readonly inFlight: InFlight
  readonly peers: Peers
  readonly suspects: Suspects
  readonly intake: Intake
  /** The data centre of this gateway. Among equals, an upstream there is chosen. */
  readonly dataCentre: string
  /** Breaks ties between upstreams that are equally good: one draw for each candidate. */
  readonly random: Random
}

/**
 * Requests that a replica is sent beyond its slots, as a share of the slots; they wait there. What waits longer at a full
 * replica comes late.
 */
const overhang = 0.1

/** Requests in flight up to which a head has room. */
export function capacity ({ slots }: Pick<Engine, 'slots'>): number {
  return slots * (1 + overhang)
}

/** Added to the cost of an upstream in another data centre: half a request in flight, or half a ms. */
const distanceCost = 0.5

/** Greatest random part of a cost, so that gateways do not all choose the same one of several equals. */
const tieBreak = 0.1

/** Chooses upstreams by their load at all gateways. */
export class Choice {
  readonly #options: ChoiceOptions
  readonly #observations = new Observations()

  constructor (options: ChoiceOptions) {
    this.#options = options
  }

  /** The head with most room for a request of a model, or undefined if none has room. @param avoided ids of heads that it must not be */
  head (service: string, model: string, engine: Engine, avoided: ReadonlySet<string>): Upstream | undefined {
    const { peers } = this.#options
    const heads = this.heads(service, model).filter(({ id }) => !avoided.has(id))
    const heartbeats = peers.live
    const load = ({ id }: Upstream): number => this.#load(id, heartbeats)
    const ordered = this.#byCost(heads, load).filter(each => load(each) < capacity(engine))
    const among = Math.min(ordered.length, this.#herd(model, heads.length, heartbeats.length))
    return among > 1 ? ordered[Math.floor(this.#options.random() * among)] : ordered[0]
  }

  /** The heads of a model that take a request now, full or not. */
  heads (service: string, model: string): Upstream[] {
    const { roster, suspects, intake } = this.#options
    return roster.heads(service, model).filter(({ id }) => intake.has(id) && suspects.mayTry(id))
  }

  /**
   * Of how many of the least loaded heads one is drawn: as many as the requests that other gateways have sent since the heartbeats by which
   * the load is known, at most half of all. If each took the least loaded one, all would send to the same head until they hear of it, and
   * meet a head that is full already.
   */
  #herd (model: string, heads: number, others: number): number {
    const { inFlight, peers } = this.#options
    const unseen = inFlight.rate(model) * others * peers.staleness / 1000
    return Math.max(1, Math.min(Math.ceil(heads / 2), Math.round(unseen)))
  }

  /**
   * The upstream of a plain service that should answer soonest, or undefined if all are avoided. Suspicions are not asked: failures
   * raise its cost (`Observations`).
   */
  plain (service: string, avoided: ReadonlySet<string>): Upstream | undefined {
    const { roster, inFlight, intake } = this.#options
    const upstreams = roster.available(service).filter(({ id }) => !avoided.has(id) && intake.has(id))
    return this.#byCost(upstreams, ({ id }) => this.#observations.cost(id, inFlight.count(id)))[0]
  }

  /** Takes in how a request at a plain upstream went. @param time until its end, in ms */
  observe (id: string, time: number, failed: boolean): void {
    this.#observations.add(id, time, failed)
  }

  /** Requests in flight at an upstream: from this gateway, and from the others by their last heartbeats. */
  load (id: string): number {
    return this.#load(id, this.#options.peers.live)
  }

  #load (id: string, heartbeats: readonly Heartbeat[]): number {
    const others = heartbeats.reduce((sum, { inFlight }) => sum + (inFlight[id] ?? 0), 0)
    return this.#options.inFlight.count(id) + others
  }

  /** Upstreams with the cheapest first; between equals, in the given order. */
  #byCost (upstreams: readonly Upstream[], cost: (upstream: Upstream) => number): Upstream[] {
    const { dataCentre, random } = this.#options
    const costs = upstreams.map(upstream => {
      const distance = upstream.dataCentre === dataCentre ? 0 : distanceCost
      return { upstream, total: cost(upstream) + distance + random() * tieBreak }
    })
    return costs.sort((a, b) => a.total - b.total).map(each => each.upstream)
  }
}
