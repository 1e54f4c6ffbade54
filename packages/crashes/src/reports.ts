/**
 * Reports to the other gateways: recent crashes that this gateway has seen, and requests that completed after a crash.
 * This module owns the reports. Each report is repeated in the heartbeats for a while, since a datagram may be lost.
 * The number of reports is bounded, so that a heartbeat stays a small datagram.
 */
import { type Clock } from '@eiderwind/clock'
import { type Crash } from './history.js'

/** A crash as one gateway reports it to another. */
export interface CrashReport {
  readonly upstream: string
  /** Time since the connections broke, in ms. */
  readonly age: number
  /** Fingerprints of the requests that this gateway had in flight there. */
  readonly requests: readonly string[]
}

/** Time for which a report is repeated, in ms: four regular heartbeats of a small fleet. */
const reportRetentionMs = 1000

/**
 * Maximum number of crashes in a heartbeat, and maximum number of requests of one crash and of cleared requests.
 * Together they take less than 6 kB.
 */
const maxCrashes = 4
const maxRequests = 64

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
    this.#crashes = this.#crashes.filter(({ at }) => now - at <= reportRetentionMs)
    return this.#crashes.map(({ upstream, at, requests }) => ({ upstream, age: Math.round(now - at), requests }))
  }

  /** Requests that have completed in the last second, the newest first. */
  get clearances (): string[] {
    const now = this.#clock.now()
    this.#cleared = this.#cleared.filter(({ at }) => now - at <= reportRetentionMs)
    return this.#cleared.map(({ request }) => request)
  }

  addCrash ({ upstream, at, requests }: Crash): void {
    this.#crashes = [{ upstream, at, requests: requests.slice(0, maxRequests) }, ...this.#crashes].slice(0, maxCrashes)
  }

  addClearance (request: string): void {
    this.#cleared = [{ request, at: this.#clock.now() }, ...this.#cleared].slice(0, maxRequests)
  }
}
