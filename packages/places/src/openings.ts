/**
 * Where there are places to give: the heads of a room with what runs there, and for how long each takes no request. The load of a head is what this gateway has in flight
 * there, what each other one has by its newest word, and the grants that this word does not show. Owns until when heads are left out by the word of a gateway.
 */
import { type Clock, type Random } from '@eiderwind/clock'
import { type Ask } from './ask.js'
import { type Counts } from './counts.js'
import { type Grants } from './grants.js'
import { type Room } from './room.js'

/** A head of a room. */
export interface Head {
  readonly id: string
  readonly dataCentre: string
  /** Requests up to which it has room. */
  readonly capacity: number
  /** For how long it takes no request, by what this gateway knows, in ms. */
  readonly closedFor: number
}

/** Dependencies of `Openings`. */
export interface OpeningsOptions {
  readonly clock: Clock
  /** The heads of a room that take requests, now or by their own word later, full or not. */
  readonly heads: (room: Room) => readonly Head[]
  /** Requests in flight at an upstream from this gateway. */
  readonly inFlight: (upstream: string) => number
  readonly counts: Counts
  /** Breaks ties between heads that are equally good. */
  readonly random: Random
}

/** Added to the cost of a head in another data centre: half a request in flight. */
const distanceCost = 0.5

/** Greatest random part of a cost, so that equal heads are taken in turn. */
const tieBreak = 0.1

/** The places at heads. */
export class Openings {
  readonly #options: OpeningsOptions
  readonly #grants: Grants
  /** Until when an upstream is left out by the word of a gateway that it refused. */
  readonly #shut = new Map<string, number>()

  constructor (options: OpeningsOptions, grants: Grants) {
    this.#options = options
    this.#grants = grants
  }

  /** Leaves an upstream out, for `time` ms from now. */
  shut (upstream: string, time: number): void {
    this.#shut.set(upstream, this.#options.clock.now() + time)
  }

  /** The heads of a room that take requests now, full or not. */
  open (room: Room): Head[] {
    return this.#options.heads(room).filter(head => this.#closedTime(head) === 0)
  }

  /** Those of some heads that are not full. */
  free (heads: readonly Head[]): Head[] {
    return heads.filter(({ id, capacity }) => this.#load(id) < capacity)
  }

  /** The least loaded of some heads to which a request may be sent. */
  best (heads: readonly Head[], { besides, near }: Ask): Head | undefined {
    const { random } = this.#options
    let best: Head | undefined
    let least = Infinity
    for (const head of heads) {
      if (besides.includes(head.id)) continue
      const cost = this.#load(head.id) + (head.dataCentre === near ? 0 : distanceCost) + random() * tieBreak
      if (cost >= least) continue
      best = head
      least = cost
    }
    return best
  }

  /** Time until the first head of a room takes requests, in ms; 0 where one does now, or none is known. */
  closedFor (room: Room): number {
    const times = this.#options.heads(room).map(head => this.#closedTime(head))
    return times.length === 0 ? 0 : Math.min(...times)
  }

  /** Forgets what is over. */
  forget (): void {
    const now = this.#options.clock.now()
    for (const [upstream, until] of this.#shut) if (until <= now) this.#shut.delete(upstream)
  }

  /** Time until a head takes requests, by what this gateway knows and the others have told, in ms. */
  #closedTime ({ id, closedFor }: Head): number {
    return Math.max(closedFor, (this.#shut.get(id) ?? 0) - this.#options.clock.now(), 0)
  }

  #load (upstream: string): number {
    const { inFlight, counts } = this.#options
    return inFlight(upstream) + counts.of(upstream) + this.#grants.of(upstream)
  }
}
