/**
 * Handles requests that crash the upstreams that run them. It collects the requests whose attempts broke, finds out
 * whether the upstream crashed, exchanges reports with the other gateways, and decides which requests may be sent.
 *
 * This module owns the history, the trials and the reports. It relies on its caller for the end of each attempt, for
 * the exchange of heartbeats, and for a check whether a process still listens at an address.
 */
import { type Clock } from '@eiderwind/clock'
import { type RequestIdentity } from './identity.js'
import { CrashHistory, type BlockedRequest, type Crash, type Standing } from './history.js'
import { Reports, type CrashReport } from './reports.js'
import { Trials, type Trial } from './trials.js'

/** An upstream and its address. */
export interface UpstreamAddress {
  readonly id: string
  /** `host:port` */
  readonly address: string
}

/** The fields on crashes in a heartbeat. */
export interface CrashHeartbeatFields {
  readonly crashes: readonly CrashReport[]
  /** Fingerprints of requests that recently completed after a crash. */
  readonly cleared: readonly string[]
}

/** Dependencies of `Crashes`. */
export interface CrashesOptions {
  readonly clock: Clock
  /** Whether an upstream has certainly ended, because a newer incarnation of it has started. */
  readonly hasEnded: (upstream: string) => boolean
  /** Whether a process still listens at an address. */
  readonly listensAt: (address: string) => Promise<boolean>
  /** The trials of the other gateways: fingerprint of the request by upstream, an object per gateway. */
  readonly otherTrials: () => ReadonlyArray<Readonly<Record<string, string>>>
  /** Called when the other gateways should be notified at once. */
  readonly announce: () => void
  /** Called when waiting requests should search for an upstream again. */
  readonly changed: () => void
  /** Called when this gateway has found that an upstream crashed. */
  readonly crashed: (crash: Crash) => void
  /**
   * Called when this gateway decides to block a request, with the crashed upstreams of the request that are known here.
   */
  readonly blocked: (request: string, upstreams: readonly string[]) => void
}

/**
 * Time for which broken attempts at an upstream are collected, in ms. The connections of a crashed upstream break one
 * after another within this time.
 */
const gatherWindowMs = 5

/** Requests that are known or suspected to crash upstreams. */
export class Crashes {
  readonly #options: CrashesOptions
  readonly #history: CrashHistory
  readonly #trials: Trials
  readonly #reports: Reports
  /** Fingerprints of requests with broken attempts that are not reported yet, by upstream. */
  readonly #unreported = new Map<string, Set<string>>()

  constructor (options: CrashesOptions) {
    const { clock, changed, blocked, announce, otherTrials } = options
    this.#options = options
    this.#history = new CrashHistory({ clock, changed, blocked })
    this.#trials = new Trials({ clock, others: otherTrials, begun: announce, ended: changed })
    this.#reports = new Reports(clock)
  }

  /** How a request may be sent. The check costs nothing while no upstream has crashed. */
  standing (request: RequestIdentity): Standing {
    return this.#history.isEmpty ? 'trusted' : this.#history.standing(request.fingerprint)
  }

  /**
   * Whether a suspected request may be sent now. All of its crashes must be decided, and no gateway may have a trial of
   * it.
   */
  mayTry ({ fingerprint }: RequestIdentity): boolean {
    return !this.#history.isPending(fingerprint) && !this.#trials.has(fingerprint)
  }

  /** Upstreams that run a trial. Another suspect must not be sent there, and any other request should not. */
  get underTrial (): ReadonlySet<string> {
    return this.#trials.upstreams
  }

  /** Time for which a request stays blocked, in ms. */
  blockedFor ({ fingerprint }: RequestIdentity): number {
    return this.#history.blockedFor(fingerprint)
  }

  /** Begins a trial: records that a suspect is sent to an upstream. */
  beginTrial ({ fingerprint }: RequestIdentity, upstream: string): Trial {
    return this.#trials.begin(fingerprint, upstream)
  }

  /** Records that a request has completed. */
  recordCompleted (request: RequestIdentity): void {
    if (this.#history.isEmpty || !this.#history.clear(request.fingerprint)) return
    this.#reports.addClearance(request.fingerprint)
  }

  /** Records that the connection of a request to an upstream broke. */
  recordBroken ({ fingerprint }: RequestIdentity, upstream: UpstreamAddress): void {
    const at = this.#options.clock.now()
    this.#history.suspect({ upstream: upstream.id, at, requests: [fingerprint] })
    const gathered = this.#unreported.get(upstream.id)
    if (gathered !== undefined) {
      gathered.add(fingerprint)
      return
    }
    this.#unreported.set(upstream.id, new Set([fingerprint]))
    this.#options.clock.after(gatherWindowMs, () => this.#checkCrash(upstream, at))
  }

  /** The heartbeat fields for the other gateways. */
  get heartbeatFields (): CrashHeartbeatFields & { readonly trials: Readonly<Record<string, string>> } {
    return { crashes: this.#reports.crashes, cleared: this.#reports.clearances, trials: this.#trials.own }
  }

  /** Applies the heartbeat fields of another gateway. */
  receive ({ crashes, cleared }: CrashHeartbeatFields): void {
    const now = this.#options.clock.now()
    for (const { upstream, age, requests } of crashes) this.#history.confirm({ upstream, at: now - age, requests })
    for (const request of cleared) this.#history.clear(request)
  }

  /** The blocked requests. */
  get blocked (): BlockedRequest[] {
    return this.#history.blocked
  }

  /** Adds blocked requests from another gateway or from the store. */
  block (blocked: readonly BlockedRequest[]): void {
    for (const { request, age } of blocked) this.#history.block(request, age)
  }

  /**
   * Finds out whether an upstream whose connections broke has crashed. If it has, no process listens at its address, or
   * only its next incarnation does.
   */
  #checkCrash (upstream: UpstreamAddress, at: number): void {
    if (this.#options.hasEnded(upstream.id)) return this.#concludeCheck(upstream.id, at, false)
    this.#options.listensAt(upstream.address).then(listens => this.#concludeCheck(upstream.id, at, listens), () => this.#concludeCheck(upstream.id, at, false))
  }

  #concludeCheck (upstream: string, at: number, listens: boolean): void {
    const requests = [...this.#unreported.get(upstream) ?? []]
    this.#unreported.delete(upstream)
    if (listens && !this.#options.hasEnded(upstream)) return this.#history.withdraw(upstream)
    const crash = { upstream, at, requests }
    this.#history.confirm(crash)
    this.#reports.addCrash(crash)
    this.#options.crashed(crash)
    this.#options.announce()
  }
}
