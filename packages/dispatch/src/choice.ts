import { type Clock, type Random } from '@eiderwind/clock'
import { type InFlight, type Suspects } from '@eiderwind/detect'
import { type Heartbeat, type Peers } from '@eiderwind/peers'
import { type Roster, type Upstream } from '@eiderwind/roster'
import { type Engine } from '@eiderwind/traffic'

/** What the choice stands on. */
export interface ChoiceOptions {
  readonly clock: Clock
  readonly roster: Roster
  readonly inFlight: InFlight
  readonly peers: Peers
  readonly suspects: Suspects
  /** Where this entry is. Among equals, an upstream there is chosen. */
  readonly dataCentre: string
  /** Breaks ties between upstreams that are equally good. */
  readonly random: Random
}

/** Requests that a replica is sent beyond its slots, in parts of these: they wait there rather than be refused. */
const overhang = 0.1

/** Weight of the newest observation in what is known of a plain upstream. */
const weight = 0.2

/** How much more loaded an upstream seems whose every request fails. */
const failureCost = 8

interface Record {
  time: number
  failures: number
}

/** Chooses upstreams by what this entry and the others have under way there. */
export class Choice {
  readonly #options: ChoiceOptions
  readonly #records = new Map<string, Record>()

  constructor (options: ChoiceOptions) {
    this.#options = options
  }

  /** The head with most room for a request of a model, or undefined where none has room. */
  head (service: string, model: string, engine: Engine, tried: ReadonlySet<string>): Upstream | undefined {
    const { roster, suspects } = this.#options
    const heads = roster.heads(service, model).filter(({ id }) => !tried.has(id) && suspects.mayTry(id))
    const heartbeats = this.#options.peers.live
    const load = ({ id }: Upstream): number => this.#load(id, heartbeats)
    const best = this.#least(heads, load)
    return best !== undefined && load(best) < engine.slots * (1 + overhang) ? best : undefined
  }

  /** The upstream of a plain service that will answer soonest. */
  plain (service: string, tried: ReadonlySet<string>): Upstream | undefined {
    const upstreams = this.#options.roster.available(service).filter(({ id }) => !tried.has(id))
    return this.#least(upstreams, ({ id }) => this.#cost(id))
  }

  /** Notes how a request at a plain upstream went. @param time until its answer, in ms */
  observe (id: string, time: number, failed: boolean): void {
    const record = this.#records.get(id) ?? { time, failures: 0 }
    if (!failed) record.time += weight * (time - record.time)
    record.failures += weight * (Number(failed) - record.failures)
    this.#records.set(id, record)
    if (this.#records.size > 1000) this.#records.clear()
  }

  /** Requests under way at an upstream: this entry's, and what the others told last. */
  #load (id: string, heartbeats: readonly Heartbeat[]): number {
    const others = heartbeats.reduce((sum, { inFlight }) => sum + (inFlight[id] ?? 0), 0)
    return this.#options.inFlight.count(id) + others
  }

  #cost (id: string): number {
    const { time, failures } = this.#records.get(id) ?? { time: 1, failures: 0 }
    return (this.#options.inFlight.count(id) + 1) * Math.max(time, 1) * (1 + failureCost * failures)
  }

  #least (upstreams: readonly Upstream[], cost: (upstream: Upstream) => number): Upstream | undefined {
    let best: Upstream | undefined
    let least = Infinity
    for (const upstream of upstreams) {
      const near = upstream.dataCentre === this.#options.dataCentre ? 0 : 0.5
      const own = cost(upstream) + near + this.#options.random() * 0.1
      if (own >= least) continue
      best = upstream
      least = own
    }
    return best
  }
}
