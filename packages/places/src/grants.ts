/**
 * The places that this gateway has granted and that no in-flight count includes yet. Owns these grants, in memory
 * only. A grant that was lost, returned or never used ends with the first heartbeat of its gateway after the grant
 * has expired. No place is lost for longer.
 */
import { type Clock } from '@eiderwind/clock'
import { placeLifetime } from './request.js'

/**
 * Age at which a report of the gateway ends a grant even if the report does not include the grant, in ms. By then a
 * grant that is still missing was lost or can no longer be used.
 */
const grantLifetime = 2 * placeLifetime

/**
 * Grant numbers start at the wall clock time of the process start, in ms, times this value. Numbers of a later process
 * are therefore higher.
 */
const grantsPerMillisecond = 1000

interface Grant {
  readonly order: number
  readonly upstream: string
  readonly at: number
}

/** Grants that no count includes yet. */
export class Grants {
  readonly #clock: Clock
  /** By the gateway that holds them. */
  readonly #grants = new Map<string, Grant[]>()
  /** Number of grants by upstream. */
  readonly #counts = new Map<string, number>()
  #order: number

  constructor (clock: Clock) {
    this.#clock = clock
    this.#order = Math.floor(clock.wall()) * grantsPerMillisecond
  }

  /** Number of grants at an upstream. */
  count (upstream: string): number {
    return this.#counts.get(upstream) ?? 0
  }

  /** Grants a place to a gateway. Returns the number of the grant. */
  add (to: string, upstream: string): number {
    const order = ++this.#order
    const grants = this.#grants.get(to) ?? []
    this.#grants.set(to, grants)
    grants.push({ order, upstream, at: this.#clock.now() })
    this.#counts.set(upstream, this.count(upstream) + 1)
    return order
  }

  /**
   * Ends the grants that the newest counts of a gateway include, and those that have expired.
   * @param seen the last grant that the counts may include
   */
  acknowledge (gateway: string, seen: number | undefined): void {
    this.#endWhere(gateway, grant => this.#isAcknowledged(grant, seen))
  }

  /** Ends the grants at one upstream that the newest count of a gateway there includes, and those that have expired. */
  acknowledgeAt (gateway: string, upstream: string, seen: number): void {
    this.#endWhere(gateway, grant => grant.upstream === upstream && this.#isAcknowledged(grant, seen))
  }

  /** Ends one grant of a gateway. */
  settle (gateway: string, order: number): void {
    this.#endWhere(gateway, grant => grant.order === order)
  }

  /** Ends the grants of gateways that are no longer live. */
  keepOnly (isLive: (gateway: string) => boolean): void {
    for (const gateway of [...this.#grants.keys()]) if (!isLive(gateway)) this.#endWhere(gateway, () => true)
  }

  #isAcknowledged ({ order, at }: Grant, seen: number | undefined): boolean {
    return (seen !== undefined && order <= seen) || this.#clock.now() - at >= grantLifetime
  }

  #endWhere (gateway: string, isOver: (grant: Grant) => boolean): void {
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
    const left = this.count(upstream) - 1
    if (left > 0) this.#counts.set(upstream, left)
    else this.#counts.delete(upstream)
  }
}
