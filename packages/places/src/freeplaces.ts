/**
 * Determines which heads of a room have free places, and when a closed head takes requests again. The load of a head
 * is the sum of three counts: requests in flight from this gateway, those in the newest report of each other gateway,
 * and grants that no report includes yet.
 * Owns the times until which heads are excluded because a gateway reported a refusal.
 */
import { type Clock, type Random } from '@eiderwind/clock'
import { type PlaceRequest } from './request.js'
import { type InFlightCounts } from './inflightcounts.js'
import { type Grants } from './grants.js'
import { type Room } from './room.js'

/** A head of a room. */
export interface Head {
  readonly id: string
  readonly dataCentre: string
  /** The number of requests up to which the head has room. */
  readonly capacity: number
  /** How long the head takes no requests, according to this gateway, in ms; 0 if it takes requests now. */
  readonly closedFor: number
}

/** Dependencies of `FreePlaces`. */
export interface FreePlacesOptions {
  readonly clock: Clock
  /**
   * The heads of a room: those that take requests now, including full ones, and those that are closed for a known time
   * (`Head.closedFor`).
   */
  readonly heads: (room: Room) => readonly Head[]
  /** Requests in flight at an upstream from this gateway. */
  readonly inFlight: (upstream: string) => number
  readonly counts: InFlightCounts
  /** Breaks ties between heads that are equally good. */
  readonly random: Random
}

/** Added to the cost of a head in another data centre. It equals half a request in flight. */
const distanceCost = 0.5

/** Upper bound of the random part of a cost. It makes equal heads take turns. */
const maxTieBreak = 0.1

/** The free places at heads. */
export class FreePlaces {
  readonly #options: FreePlacesOptions
  readonly #grants: Grants
  /** When the exclusion of an upstream ends, after a gateway reported a refusal. */
  readonly #excludedUntil = new Map<string, number>()

  constructor (options: FreePlacesOptions, grants: Grants) {
    this.#options = options
    this.#grants = grants
  }

  /** Excludes an upstream for `time` ms from now. */
  exclude (upstream: string, time: number): void {
    this.#excludedUntil.set(upstream, this.#options.clock.now() + time)
  }

  /** The heads of a room that take requests now, whether they are full or not. */
  open (room: Room): Head[] {
    return this.#options.heads(room).filter(head => this.#closedTime(head) === 0)
  }

  /** Returns the heads that are not full. */
  free (heads: readonly Head[]): Head[] {
    return heads.filter(({ id, capacity }) => this.#load(id) < capacity)
  }

  /** Returns the least loaded head to which a request may be sent. */
  best (heads: readonly Head[], { excluded, near }: PlaceRequest): Head | undefined {
    const { random } = this.#options
    let best: Head | undefined
    let lowestCost = Infinity
    for (const head of heads) {
      if (excluded.includes(head.id)) continue
      const cost = this.#load(head.id) + (head.dataCentre === near ? 0 : distanceCost) + random() * maxTieBreak
      if (cost >= lowestCost) continue
      best = head
      lowestCost = cost
    }
    return best
  }

  /** Time until the first head of a room takes requests, in ms; 0 if one does now or none is known. */
  closedFor (room: Room): number {
    const times = this.#options.heads(room).map(head => this.#closedTime(head))
    return times.length === 0 ? 0 : Math.min(...times)
  }

  /** Removes exclusions that have ended. */
  forget (): void {
    const now = this.#options.clock.now()
    for (const [upstream, until] of this.#excludedUntil) if (until <= now) this.#excludedUntil.delete(upstream)
  }

  /** Time until a head takes requests, according to this gateway and the reports of the others, in ms. */
  #closedTime ({ id, closedFor }: Head): number {
    return Math.max(closedFor, (this.#excludedUntil.get(id) ?? 0) - this.#options.clock.now(), 0)
  }

  #load (upstream: string): number {
    const { inFlight, counts } = this.#options
    return inFlight(upstream) + counts.of(upstream) + this.#grants.count(upstream)
  }
}
