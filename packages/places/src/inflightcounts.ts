/**
 * Requests in flight at upstreams from the other gateways, as of the newest heartbeat of each and its later reports
 * about single upstreams. Owns these counts. Keeps their sums, because each choice of an upstream reads them. Relies
 * on periodic calls of `keepOnly`, so that the counts of a gateway that ended are removed.
 */

/** In-flight counts of the other gateways. */
export class InFlightCounts {
  readonly #counts = new Map<string, Map<string, number>>()
  readonly #sums = new Map<string, number>()

  /** Requests in flight at an upstream from all other gateways. */
  of (upstream: string): number {
    return this.#sums.get(upstream) ?? 0
  }

  /** Replaces all counts of a gateway by those in its heartbeat. */
  replace (gateway: string, inFlight: Readonly<Record<string, number>>): void {
    const before = this.#counts.get(gateway)
    if (before !== undefined) for (const upstream of [...before.keys()]) if (inFlight[upstream] === undefined) this.set(gateway, upstream, 0)
    for (const [upstream, count] of Object.entries(inFlight)) this.set(gateway, upstream, count)
  }

  /** Sets what a gateway has in flight at one upstream. */
  set (gateway: string, upstream: string, count: number): void {
    const counts = this.#counts.get(gateway) ?? new Map<string, number>()
    this.#counts.set(gateway, counts)
    this.#add(upstream, count - (counts.get(upstream) ?? 0))
    if (count === 0) counts.delete(upstream)
    else counts.set(upstream, count)
  }

  /** Removes the gateways that are no longer live. */
  keepOnly (isLive: (gateway: string) => boolean): void {
    for (const gateway of [...this.#counts.keys()]) {
      if (isLive(gateway)) continue
      this.replace(gateway, {})
      this.#counts.delete(gateway)
    }
  }

  #add (upstream: string, count: number): void {
    const sum = this.of(upstream) + count
    if (sum === 0) this.#sums.delete(upstream)
    else this.#sums.set(upstream, sum)
  }
}
