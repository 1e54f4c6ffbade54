/**
 * Handles requests that crash the upstreams that run them. It collects the requests whose attempts broke, finds out
 * whether the upstream crashed, exchanges reports with the other gateways, and decides which requests may be sent.
 *
 * This module owns the history, the trials and the reports. It relies on its caller for the end of each attempt, for
 * the exchange of heartbeats, and for a check whether a process still listens at an address.
 */
import { type Clock } from '@eiderwind/clock'
import { isTeamName, type RequestIdentity } from './identity.js'
import { blockId, type Block } from './blocked.js'
import { type Crash, type InterruptedRequest } from './crash.js'
import { CrashHistory, type BlockChange, type Standing } from './history.js'
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
  /**
   * Names of requests that were recently served after a crash: the time since then, in ms. Undefined for builds that
   * send `cleared` only.
   */
  readonly clearances?: Readonly<Record<string, number>> | undefined
}

/** How far an attempt had come when its connection broke. */
export interface BrokenAttempt {
  /** Whether its answer had gone on for long enough that its beginning did not crash the upstream. */
  readonly survived: boolean
  readonly trial: boolean
}

/** Dependencies of `Crashes`. */
export interface CrashesOptions {
  readonly clock: Clock
  /** Whether an upstream has certainly ended, because a newer incarnation of it has started. */
  readonly hasEnded: (upstream: string) => boolean
  /** Tries to connect to an address. `unknown`: it failed for another reason than a refusal. */
  readonly probe: (address: string) => Promise<'listening' | 'refused' | 'unknown'>
  /** The trials of the other gateways: the suspected names by upstream, an object per gateway. */
  readonly otherTrials: () => ReadonlyArray<Readonly<Record<string, readonly string[]>>>
  /** Called when the other gateways should be notified at once. */
  readonly announce: () => void
  /** Called when waiting requests should search for an upstream again. */
  readonly changed: () => void
  /** Called when this gateway has found that an upstream crashed. */
  readonly crashed: (crash: Crash) => void
  /** Called when this gateway blocks requests, narrows a block or lifts it. */
  readonly blockChanged: (change: BlockChange) => void
}

/**
 * Time for which broken attempts at an upstream are collected, in ms. The connections of a crashed upstream break one
 * after another within this time.
 */
const gatherWindowMs = 5

/** How often an upstream whose answer has ended is probed while the connection attempts show nothing. */
const maxEndProbes = 6

/** Requests that are known or suspected to crash upstreams. */
export class Crashes {
  readonly #options: CrashesOptions
  readonly #history: CrashHistory
  readonly #trials: Trials
  readonly #reports: Reports
  /** Requests with broken attempts that are not reported yet, by upstream. */
  readonly #unreported = new Map<string, InterruptedRequest[]>()

  constructor (options: CrashesOptions) {
    const { clock, changed, blockChanged, announce, otherTrials } = options
    this.#options = options
    this.#history = new CrashHistory({ clock, changed, blockChanged })
    this.#trials = new Trials({ clock, others: otherTrials, begun: announce, ended: changed })
    this.#reports = new Reports(clock)
  }

  /** How a request may be sent. The check costs nothing while no upstream has crashed. */
  standing (request: RequestIdentity): Standing {
    return this.#history.isEmpty ? 'trusted' : this.#history.standing(request)
  }

  /**
   * Whether a suspected request may be sent now. All crashes of its suspected names must be decided, and no gateway may
   * have a trial of one of these names.
   */
  mayTry (request: RequestIdentity): boolean {
    return this.#history.suspectedNames(request).every(each => !this.#history.isPending(each) && !this.#trials.has(each))
  }

  /** Upstreams that run a trial. Another suspect must not be sent there, and any other request should not. */
  get underTrial (): ReadonlySet<string> {
    return this.#trials.upstreams
  }

  /** Time for which a request stays blocked, in ms. */
  blockedFor (request: RequestIdentity): number {
    return this.#history.blockedFor(request)
  }

  /** Begins a trial: records that a suspect is sent to an upstream. */
  beginTrial (request: RequestIdentity, upstream: string): Trial {
    return this.#trials.begin(request.fingerprint, this.#history.suspectedNames(request), upstream)
  }

  /** Records that a request has completed. */
  recordCompleted (request: RequestIdentity): void {
    // The parts are recorded also while no upstream has crashed, so that those that all requests share are known.
    this.#clear(request.parts)
    if (!this.#history.isEmpty) this.#clear([request.fingerprint])
  }

  /** Records that the answer of a request has gone on long past its beginning, so no part of its prompt is harmful. */
  recordSurvived (request: RequestIdentity): void {
    if (this.#history.isEmpty) return
    this.#clear(request.parts)
  }

  /** Records that the connection of a request to an upstream broke. */
  recordBroken ({ fingerprint, parts, team }: RequestIdentity, upstream: UpstreamAddress, { survived, trial }: BrokenAttempt): void {
    const at = this.#options.clock.now()
    const beginning = parts.length === 0 || !survived
    const request = { request: fingerprint, parts: beginning ? parts : [], team, beginning, trial }
    this.#history.suspect({ upstream: upstream.id, at, requests: [request] })
    if (!beginning) this.#clearAt(parts, at)
    const gathered = this.#unreported.get(upstream.id)
    if (gathered !== undefined) {
      gathered.push(request)
      return
    }
    this.#unreported.set(upstream.id, [request])
    this.#options.clock.after(gatherWindowMs, () => this.#checkCrash(upstream, at))
  }

  /**
   * Finds out whether an upstream that has just closed a connection has certainly ended. A connection attempt that
   * shows nothing is repeated, since the path to the upstream may be silent for more than a second.
   */
  async hasEnded ({ id, address }: UpstreamAddress): Promise<boolean> {
    const { clock, hasEnded, probe } = this.#options
    for (let count = 0; count < maxEndProbes; count++) {
      await clock.wait(gatherWindowMs)
      if (hasEnded(id)) return true
      const state = await probe(address)
      if (state !== 'unknown') return state === 'refused'
    }
    return hasEnded(id)
  }

  /**
   * Whether an upstream is known to have crashed since a time on `Clock.now`, most likely under another request than
   * this one.
   */
  wasCrashedByOthers (upstream: string, since: number, request: RequestIdentity): boolean {
    return !this.#history.isEmpty && this.#history.wasCrashedByOthers(upstream, since, request)
  }

  /** The heartbeat fields for the other gateways. */
  get heartbeatFields (): CrashHeartbeatFields & { readonly trials: Readonly<Record<string, string>>, readonly trialNames: Readonly<Record<string, readonly string[]>> } {
    const { clearances } = this.#reports
    return { crashes: this.#reports.crashes, cleared: Object.keys(clearances), clearances, trials: this.#trials.own, trialNames: this.trialNames }
  }

  /** The trials of this gateway: the names for which the request is suspected, by upstream. */
  get trialNames (): Readonly<Record<string, readonly string[]>> {
    return this.#trials.ownNames
  }

  /** Applies the heartbeat fields of another gateway. */
  receive ({ crashes, cleared, clearances }: CrashHeartbeatFields): void {
    const now = this.#options.clock.now()
    for (const { upstream, age, requests } of crashes) this.#history.confirm({ upstream, at: now - age, requests })
    this.addClearances(clearances ?? Object.fromEntries(cleared.map(each => [each, 0])))
  }

  /** Adds clearances from another gateway: the time since each, in ms, by name. */
  addClearances (ages: Readonly<Record<string, number>>): void {
    const now = this.#options.clock.now()
    for (const [name, age] of Object.entries(ages)) this.#history.clear(name, now - age)
  }

  /** The blocks in force. */
  get blocks (): Block[] {
    return this.#history.blocks
  }

  /** The time since each name was last cleared, in ms. */
  get clearances (): Record<string, number> {
    return this.#history.clearances
  }

  /** Adds blocks from another gateway or from the store. */
  block (blocks: readonly Block[]): void {
    for (const each of blocks) this.#history.block(each)
  }

  /** Lifts a block on an operator's order, at all gateways. Returns whether there was one with this id. */
  lift (id: string): boolean {
    const names = this.blocks.find(each => blockId(each.names) === id)?.names ?? []
    if (!this.#history.lift(id)) return false
    for (const name of names.filter(each => !isTeamName(each))) this.#reports.addClearance(name)
    this.#options.announce()
    return true
  }

  #clear (names: readonly string[]): void {
    for (const name of names) if (this.#history.clear(name)) this.#reports.addClearance(name)
  }

  /** Clears names also if no crash of them is known here yet. */
  #clearAt (names: readonly string[], at: number): void {
    for (const name of names) {
      this.#history.clear(name, at)
      this.#reports.addClearance(name, at)
    }
  }

  /**
   * Finds out whether an upstream whose connections broke has crashed. If it has, no process listens at its address, or
   * only its next incarnation does.
   */
  #checkCrash (upstream: UpstreamAddress, at: number): void {
    this.#isListening(upstream).then(listens => this.#concludeCheck(upstream.id, at, listens), () => this.#concludeCheck(upstream.id, at, false))
  }

  async #isListening ({ id, address }: UpstreamAddress): Promise<boolean> {
    return !this.#options.hasEnded(id) && await this.#options.probe(address) === 'listening'
  }

  #concludeCheck (upstream: string, at: number, listens: boolean): void {
    const requests = this.#unreported.get(upstream) ?? []
    this.#unreported.delete(upstream)
    if (listens && !this.#options.hasEnded(upstream)) return this.#history.withdraw(upstream)
    const crash = { upstream, at, requests }
    this.#history.confirm(crash)
    this.#reports.addCrash(crash)
    this.#options.crashed(crash)
    this.#options.announce()
  }
}
