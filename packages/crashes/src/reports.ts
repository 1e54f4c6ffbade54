/**
 * What this gateway has lately seen of crashes, for the other gateways. Owns the reports; each stays in the heartbeats for a while, since a datagram
 * may be lost. Bounded, so that a heartbeat stays a small datagram.
 */
import { type Clock } from '@eiderwind/clock'
import { type Crash } from './history.js'

/** A crash, as one gateway reports it to another one. */
export interface CrashReport {
  readonly upstream: string
  /** Time since the connections broke, in ms. */
  readonly age: number
  /** Fingerprints of the requests that this gateway had in flight there. */
  readonly requests: readonly string[]
}

/** How long a report is repeated, in ms: four regular heartbeats of a small fleet. */
const reportTime = 1000

/** Crashes, and requests of one crash and clearances, that are reported at once: below 6 kB together. */
const mostCrashes = 4
const mostRequests = 64

/** Reports to the other gateways. */
export class Reports {
  readonly #clock: Clock
  #crashes: Crash[] = []
  #cleared: Array<{ readonly request: string, readonly at: number }> = []

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** The crashes of the last second, the newest first. */
  get crashes (): CrashReport[] {
    const now = this.#clock.now()
    this.#crashes = this.#crashes.filter(({ at }) => now - at <= reportTime)
    return this.#crashes.map(({ upstream, at, requests }) => ({ upstream, age: Math.round(now - at), requests }))
  }

  /** Requests that have run to their end in the last second, the newest first. */
  get clearances (): string[] {
    const now = this.#clock.now()
    this.#cleared = this.#cleared.filter(({ at }) => now - at <= reportTime)
    return this.#cleared.map(({ request }) => request)
  }

  crashed ({ upstream, at, requests }: Crash): void {
    this.#crashes = [{ upstream, at, requests: requests.slice(0, mostRequests) }, ...this.#crashes].slice(0, mostCrashes)
  }

  cleared (request: string): void {
    this.#cleared = [{ request, at: this.#clock.now() }, ...this.#cleared].slice(0, mostRequests)
  }
}
