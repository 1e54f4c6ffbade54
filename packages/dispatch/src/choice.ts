/**
 * Chooses the upstream of a request: the head with most room for a model, or the plain upstream with the shortest
 * expected time. Relies on the roster for the candidates, on `InFlight` and the heartbeats of the other gateways for
 * their load, and on `Suspects` and `availability.ts` for upstreams to avoid. If none has room, `waiting.ts` decides
 * how long the request waits.
 */
import { type Random } from '@eiderwind/clock'
import { type InFlight, type Suspects } from '@eiderwind/detect'
import { type Heartbeat, type Peers } from '@eiderwind/peers'
import { type Roster, type Upstream } from '@eiderwind/roster'
import { type Engine } from '@eiderwind/traffic'
import { type Availability } from './availability.js'
import { Observations } from './observations.js'

/** Dependencies of `Choice`. */
export interface ChoiceOptions {
  readonly roster: Roster
  readonly inFlight: InFlight
  readonly peers: Peers
  readonly suspects: Suspects
  readonly availability: Availability
  /** The data centre of this gateway. Its upstreams are preferred among equally loaded ones. */
  readonly dataCentre: string
  /** Breaks ties between equally good upstreams, with one draw for each candidate. */
  readonly random: Random
}

/**
 * Requests that are sent to a replica beyond its slots, as a share of the slots. They queue at the replica. With a
 * longer queue there, requests would be answered late.
 */
const queueShare = 0.1

/** Number of requests in flight at which a head is full. */
export function capacity ({ slots }: Pick<Engine, 'slots'>): number {
  return slots * (1 + queueShare)
}

/** Added to the cost of an upstream in another data centre: half a request in flight, or half a ms. */
const distanceCost = 0.5

/** Maximum random part of a cost. It keeps the gateways from all choosing the same one of several equal upstreams. */
const maxTieBreak = 0.1

/** Chooses upstreams by their load from all gateways. */
export class Choice {
  readonly #options: ChoiceOptions
  readonly #observations = new Observations()

  constructor (options: ChoiceOptions) {
    this.#options = options
  }

  /**
   * The head with most room for a request of a model. Undefined if none has room.
   * @param excluded ids of excluded heads
   */
  head (service: string, model: string, engine: Engine, excluded: ReadonlySet<string>): Upstream | undefined {
    const { peers } = this.#options
    const heads = this.heads(service, model).filter(({ id }) => !excluded.has(id))
    const heartbeats = peers.live
    const load = ({ id }: Upstream): number => this.#load(id, heartbeats)
    const ordered = this.#byCost(heads, load).filter(each => load(each) < capacity(engine))
    const count = Math.min(ordered.length, this.#candidateCount(model, heads.length, heartbeats.length))
    return count > 1 ? ordered[Math.floor(this.#options.random() * count)] : ordered[0]
  }

  /** The heads of a model that take requests now, including full ones. */
  heads (service: string, model: string): Upstream[] {
    const { roster, suspects, availability } = this.#options
    return roster.heads(service, model).filter(({ id }) => availability.isAvailable(id) && suspects.mayTry(id))
  }

  /**
   * The number of least loaded heads from which one is drawn at random. It is the estimated number of requests that the
   * other gateways have sent since their last heartbeats, but at most half of the heads. If each gateway chose the
   * least loaded head, all would choose the same one until the next heartbeats, and some requests would arrive at a
   * head that is already full.
   */
  #candidateCount (model: string, headCount: number, peerCount: number): number {
    const { inFlight, peers } = this.#options
    const unreported = inFlight.rate(model) * peerCount * peers.staleness / 1000
    return Math.max(1, Math.min(Math.ceil(headCount / 2), Math.round(unreported)))
  }

  /**
   * The upstream of a plain service with the shortest expected time. Undefined if all are excluded. `Suspects` is not
   * used here, since failures already raise the cost of an upstream (`Observations`).
   */
  plain (service: string, excluded: ReadonlySet<string>): Upstream | undefined {
    const { roster, inFlight, availability } = this.#options
    const upstreams = roster.available(service).filter(({ id }) => !excluded.has(id) && availability.isAvailable(id))
    return this.#byCost(upstreams, ({ id }) => this.#observations.cost(id, inFlight.count(id)))[0]
  }

  /** Records the result of a request at a plain upstream. @param time until its end, in ms */
  observe (id: string, time: number, failed: boolean): void {
    this.#observations.add(id, time, failed)
  }

  /** Requests in flight at an upstream: those of this gateway, and those of the others as of their last heartbeats. */
  load (id: string): number {
    return this.#load(id, this.#options.peers.live)
  }

  #load (id: string, heartbeats: readonly Heartbeat[]): number {
    const others = heartbeats.reduce((sum, { inFlight }) => sum + (Object.hasOwn(inFlight, id) ? inFlight[id] : 0), 0)
    return this.#options.inFlight.count(id) + others
  }

  /** Upstreams by ascending cost. Equal ones stay in the given order. */
  #byCost (upstreams: readonly Upstream[], cost: (upstream: Upstream) => number): Upstream[] {
    const { dataCentre, random } = this.#options
    const costs = upstreams.map(upstream => {
      const distance = upstream.dataCentre === dataCentre ? 0 : distanceCost
      return { upstream, total: cost(upstream) + distance + random() * maxTieBreak }
    })
    return costs.sort((a, b) => a.total - b.total).map(each => each.upstream)
  }
}
