/**
 * The places that this gateway has given and that no count shows yet. Owns these grants, in memory only. One that was lost, told back or never used is over with the next
 * heartbeat of its gateway after it has lapsed, so no place is lost for longer.
 */
import { type Clock } from '@eiderwind/clock'
import { useTime } from './ask.js'

/** Time after which a word shows a grant, even if its sender does not say that it has seen it, in ms: what is left of it was lost, or is not used any more. */
const lapse = 2 * useTime

/** Numbers of grants begin with the wall time at the start, so that those of a later life are higher. */
const grantsPerMillisecond = 1000

interface Grant {
  readonly order: number
  readonly upstream: string
  readonly at: number
}

/** Grants on their way. */
export class Grants {
  readonly #clock: Clock
  /** By the gateway that has them. */
  readonly #grants = new Map<string, Grant[]>()
  /** How many there are, by upstream. */
  readonly #counts = new Map<string, number>()
  #order: number

  constructor (clock: Clock) {
    this.#clock = clock
    this.#order = Math.floor(clock.wall()) * grantsPerMillisecond
  }

  /** How many there are at an upstream. */
  of (upstream: string): number {
    return this.#counts.get(upstream) ?? 0
  }

  /** Gives a place to a gateway. Returns the number of the grant. */
  add (to: string, upstream: string): number {
    const order = ++this.#order
    const grants = this.#grants.get(to) ?? []
    this.#grants.set(to, grants)
    grants.push({ order, upstream, at: this.#clock.now() })
    this.#counts.set(upstream, this.of(upstream) + 1)
    return order
  }

  /** Takes that the newest counts of a gateway are known. @param seen the last grant that they may show */
  shown (gateway: string, seen: number | undefined): void {
    this.#end(gateway, grant => this.#isShown(grant, seen))
  }

  /** The same of its count at one upstream. */
  shownAt (gateway: string, upstream: string, seen: number): void {
    this.#end(gateway, grant => grant.upstream === upstream && this.#isShown(grant, seen))
  }

  /** Ends one grant of a gateway. */
  settle (gateway: string, order: number): void {
    this.#end(gateway, grant => grant.order === order)
  }

  /** Ends those of the gateways that live no more. */
  keepOnly (isLive: (gateway: string) => boolean): void {
    for (const gateway of [...this.#grants.keys()]) if (!isLive(gateway)) this.#end(gateway, () => true)
  }

  #isShown ({ order, at }: Grant, seen: number | undefined): boolean {
    return (seen !== undefined && order <= seen) || this.#clock.now() - at >= lapse
  }

  #end (gateway: string, isOver: (grant: Grant) => boolean): void {
    const grants = this.#grants.get(gateway) ?? []
    const left: Grant[] = []
    for (const grant of grants) {
      if (isOver(grant)) this.#release(grant.upstream)
      else left.push(grant)
    }
    if (left.length > 0) this.#grants.set(gateway, left)
    else this.#grants.delete(gateway)
  }

  #release (upstream: string): void {
    const left = this.of(upstream) - 1
    if (left > 0) this.#counts.set(upstream, left)
    else this.#counts.delete(upstream)
  }
}
