/**
 * Reports to the other gateways: recent crashes that this gateway has seen, and names of requests that were served
 * after a crash. This module owns the reports. Each report is repeated in the heartbeats for a while, since a datagram
 * may be lost. The number of reports is bounded, so that a heartbeat stays a small datagram.
 */
import { type Clock } from '@eiderwind/clock'
import { unnamedRequest, type Crash, type InterruptedRequest } from './crash.js'

/** A crash as one gateway reports it to another. */
export interface CrashReport {
  readonly upstream: string
  /** Time since the connections broke, in ms. */
  readonly age: number
  /** The requests that this gateway had in flight there. */
  readonly requests: readonly InterruptedRequest[]
}

/** Time for which a report is repeated, in ms: four regular heartbeats of a small fleet. */
const reportRetentionMs = 1000

/**
 * Maximum number of crashes in a heartbeat, of requests of one crash, of those with the parts of their prompts, and of
 * clearances. Together they take less than 48 kB, and usually less than 6 kB.
 */
const maxCrashes = 4
const maxRequests = 64
const maxNamedRequests = 16
const maxClearances = 64

/** Reports to the other gateways. */
export class Reports {
  readonly #clock: Clock
  #crashes: Crash[] = []
  #cleared: Array<{ readonly name: string, readonly at: number }> = []

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** The crashes of the last second, the newest first. */
  get crashes (): CrashReport[] {
    const now = this.#clock.now()
    this.#crashes = this.#crashes.filter(({ at }) => now - at <= reportRetentionMs)
    return this.#crashes.map(({ upstream, at, requests }) => ({ upstream, age: Math.round(now - at), requests }))
  }

  /** Names of requests that were served in the last second, the newest first: the time since then, in ms. */
  get clearances (): Record<string, number> {
    const now = this.#clock.now()
    this.#cleared = this.#cleared.filter(({ at }) => now - at <= reportRetentionMs)
    return Object.fromEntries(this.#cleared.map(({ name, at }) => [name, Math.round(now - at)]))
  }

  addCrash ({ upstream, at, requests }: Crash): void {
    this.#crashes = [{ upstream, at, requests: bounded(requests) }, ...this.#crashes].slice(0, maxCrashes)
  }

  addClearance (name: string, at = this.#clock.now()): void {
    this.#cleared = [{ name, at }, ...this.#cleared.filter(each => each.name !== name)].slice(0, maxClearances)
  }
}

/** The requests that are reported, trials first; the parts of the last ones are left out. */
function bounded (requests: readonly InterruptedRequest[]): InterruptedRequest[] {
  const ordered = [...requests].sort((one, other) => Number(other.trial) - Number(one.trial)).slice(0, maxRequests)
  return ordered.map((each, index) => index < maxNamedRequests || !each.beginning ? each : unnamedRequest(each.request))
}
