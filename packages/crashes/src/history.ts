/**
 * Records which requests were in flight at upstreams that crashed, under each of their names, and which names are
 * suspected or blocked. This module owns the records. It relies on its callers to report the crashes that any gateway
 * has seen, and the requests that were served. `decision.ts` decides what a crash proves.
 *
 * A request is suspected after two crashes, and a part after one that nobody has been served with since. Requests with
 * a suspected name run only where no other suspect runs (`Trials`).
 */
import { type Clock } from '@eiderwind/clock'
import { Blocked, blockId, remainingNames, type Block } from './blocked.js'
import { Clearances } from './clearances.js'
import { suspectNames, type Crash, type CrashEvent, type InterruptedRequest } from './crash.js'
import { decide, isSuspicious, openParts, type CrashRecords, type Decision } from './decision.js'
import { isTeamName, type RequestIdentity } from './identity.js'

/**
 * How a request may be sent. `suspected`: it may run, but not beside another suspect. `blocked`: it is not sent to any
 * upstream.
 */
export type Standing = 'trusted' | 'suspected' | 'blocked'

/** A change of the blocks. */
export interface BlockChange {
  /** The names of the block; empty if it was lifted. */
  readonly names: readonly string[]
  /** The id of the block that it replaces, if any. */
  readonly replaces?: string
  /** The upstreams that crashed under all of these names, as far as known here. */
  readonly upstreams: readonly string[]
}

/** Dependencies of `CrashHistory`. */
export interface CrashHistoryOptions {
  readonly clock: Clock
  /** Called when the standing of requests has changed, so that waiting requests check it again. */
  readonly changed: () => void
  /** Called when this gateway blocks a set of names, narrows a block or lifts it. */
  readonly blockChanged: (change: BlockChange) => void
}

/**
 * Time within which reports about an upstream count as one crash, in ms. A crashed engine needs some seconds to return,
 * perhaps under the same id, and can't crash again before that.
 */
const sameCrashWindowMs = 1500

/**
 * Time between a crash and the decision on it, in ms. The other gateways report their requests in flight within this
 * time. It is many times the network delay between gateways, and far below the time after which callers abandon a
 * silent stream (2 s).
 */
const settleTimeMs = 150

/**
 * Time after its last crash for which a name that is not blocked is remembered, in ms. Callers have returned after half
 * a minute.
 */
const suspicionRetentionMs = 10 * 60_000

/** Maximum numbers of remembered names and crashes. They bound memory; most interrupted requests never return. */
const maxNames = 2000
const maxCrashes = 400

/** The crashes of the last minutes by name. */
export class CrashHistory implements CrashRecords {
  readonly #options: CrashHistoryOptions
  /** The crashes of each name. */
  readonly #records = new Map<string, CrashEvent[]>()
  /** All crashes, the oldest first. */
  #events: CrashEvent[] = []
  readonly #clearances: Clearances
  readonly #blocked: Blocked

  constructor (options: CrashHistoryOptions) {
    this.#options = options
    this.#clearances = new Clearances(options.clock)
    this.#blocked = new Blocked(options.clock)
  }

  /** Whether no name is recorded. */
  get isEmpty (): boolean {
    return this.#records.size === 0 && this.#blocked.isEmpty
  }

  standing (request: RequestIdentity): Standing {
    if (this.blockedFor(request) > 0) return 'blocked'
    return this.suspectedNames(request).length > 0 ? 'suspected' : 'trusted'
  }

  /** The names for which a request is suspected. */
  suspectedNames ({ fingerprint, parts }: RequestIdentity): string[] {
    return [fingerprint, ...parts].filter(each => isSuspicious(each, this.crashesOf(each).length) || this.wasBlocked(each))
  }

  /** Time for which a request stays blocked, in ms; 0 if it is not blocked. */
  blockedFor (request: RequestIdentity): number {
    return this.#blocked.remaining(request)
  }

  /** Whether a crash that the name was in is undecided. */
  isPending (name: string): boolean {
    return this.crashesOf(name).some(each => !each.settled)
  }

  /** The blocks in force. */
  get blocks (): Block[] {
    return this.#blocked.active
  }

  /** The time since the last clearance of each name, in ms. */
  get clearances (): Record<string, number> {
    return this.#clearances.ages
  }

  crashesOf (name: string): readonly CrashEvent[] {
    return this.#records.get(name) ?? []
  }

  wasBlocked (name: string): boolean {
    return this.#blocked.contains(name)
  }

  wasServed (name: string): boolean {
    return this.#clearances.at(name) > this.#options.clock.now() - suspicionRetentionMs
  }

  hasExpired (names: readonly string[]): boolean {
    return this.#blocked.hasExpired(names)
  }

  /**
   * Whether an upstream is known to have crashed since a time on `Clock.now`, and another request there had a suspected
   * part that this one does not have and that nobody was served with lately.
   */
  wasCrashedByOthers (upstream: string, since: number, { parts }: RequestIdentity): boolean {
    const event = this.#newestOf(upstream)
    if (event === undefined || !event.confirmed || event.at < since) return false
    return openParts(event, this).some(each => !parts.includes(each) && !this.wasServed(each))
  }

  /** Records that the connections to an upstream broke. It counts as a crash until `withdraw`. */
  suspect (crash: Crash): void {
    this.#recordCrash(crash)
  }

  /** Records that an upstream has crashed. */
  confirm (crash: Crash): void {
    const event = this.#recordCrash(crash)
    if (event.confirmed) return
    event.confirmed = true
    this.#options.clock.after(settleTimeMs, () => this.#settle(event))
  }

  /**
   * Records that the upstream did not crash as far as this gateway can tell. Has no effect if another gateway has
   * confirmed the crash.
   */
  withdraw (upstream: string): void {
    const event = this.#newestOf(upstream)
    if (event === undefined || event.confirmed) return
    this.#events = this.#events.filter(each => each !== event)
    this.#forget(event)
    this.#options.changed()
  }

  /**
   * Records that a request with this name was served. Returns whether the name was in any crash or block. @param at
   * on `Clock.now`; the crashes before it no longer count
   */
  clear (name: string, at = this.#options.clock.now()): boolean {
    const crashes = this.crashesOf(name)
    const known = crashes.some(each => each.at <= at) || this.wasBlocked(name)
    this.#clearances.add(name, at)
    if (!known) return false
    this.#keep(name, crashes.filter(each => each.at > at))
    for (const { before, after } of this.#blocked.release(name, at)) this.#options.blockChanged({ names: after, replaces: blockId(before), upstreams: [] })
    this.#options.changed()
    return true
  }

  /** Adds a block of another gateway or of the store, without the names that have been cleared since. */
  block ({ names, age, duration }: Block): void {
    const since = this.#options.clock.now() - age
    const left = names.filter(each => this.#clearances.at(each) >= since).reduce<readonly string[]>(remainingNames, names)
    if (left.length > 0 && this.#blocked.add(left, since, duration)) this.#options.changed()
  }

  /** Lifts a block and forgets the crashes of its names. Returns whether there was one with this id. */
  lift (id: string): boolean {
    const names = this.#blocked.remove(id)
    if (names === undefined) return false
    for (const name of names.filter(each => !isTeamName(each))) this.clear(name)
    this.#options.blockChanged({ names: [], replaces: id, upstreams: [] })
    return true
  }

  #newestOf (upstream: string): CrashEvent | undefined {
    return this.#events.findLast(each => each.upstream === upstream)
  }

  #recordCrash ({ upstream, at, requests }: Crash): CrashEvent {
    const last = this.#newestOf(upstream)
    const event = last !== undefined && Math.abs(last.at - at) < sameCrashWindowMs ? last : this.#addEvent(upstream, at)
    const added = requests.filter(each => !event.requests.has(each.request))
    for (const request of added) this.#addRequest(request, event)
    // Reports are repeated. A report without new requests evicts nothing.
    if (added.length > 0) this.#evict()
    return event
  }

  #addEvent (upstream: string, at: number): CrashEvent {
    const event: CrashEvent = { upstream, at, requests: new Map(), confirmed: false, settled: false }
    this.#events.push(event)
    return event
  }

  #addRequest (request: InterruptedRequest, event: CrashEvent): void {
    event.requests.set(request.request, request)
    for (const name of suspectNames(request)) {
      if (this.#clearances.at(name) >= event.at || this.crashesOf(name).includes(event)) continue
      const crashes = [...this.crashesOf(name), event]
      // Moves the record to the end of the eviction order.
      this.#records.delete(name)
      this.#records.set(name, crashes)
    }
  }

  /** Removes a crash from the records of all names. */
  #forget (event: CrashEvent): void {
    for (const name of new Set([...event.requests.values()].flatMap(suspectNames))) this.#keep(name, this.crashesOf(name).filter(each => each !== event))
  }

  #keep (name: string, crashes: CrashEvent[]): void {
    if (crashes.length === 0) this.#records.delete(name)
    else this.#records.set(name, crashes)
  }

  /** Decides on a crash, after all gateways had time to report their requests in flight. */
  #settle (event: CrashEvent): void {
    event.settled = true
    for (const decision of decide(event, this)) this.#block(decision, event.at)
    this.#options.changed()
  }

  #block ({ names, duration }: Decision, since: number): void {
    if (this.#blocked.covers(names) || !this.#blocked.add(names, since, duration)) return
    const [first, ...others] = names.map(each => this.crashesOf(each)).filter(each => each.length > 0)
    const common = first.filter(event => others.every(each => each.includes(event)))
    this.#options.blockChanged({ names, upstreams: common.map(each => each.upstream) })
  }

  /** Evicts crashes that are too old or too many, and names if there are too many; suspected names last. */
  #evict (): void {
    const before = this.#options.clock.now() - suspicionRetentionMs
    const excess = this.#events.length - maxCrashes
    const evicted = this.#events.filter((each, index) => index < excess || each.at < before)
    if (evicted.length > 0) this.#events = this.#events.filter(each => !evicted.includes(each))
    for (const event of evicted) this.#forget(event)
    if (this.#records.size > maxNames) this.#evictOldest((name, crashes) => !isSuspicious(name, crashes.length))
    if (this.#records.size > maxNames) this.#evictOldest(() => true)
  }

  #evictOldest (mayEvict: (name: string, crashes: readonly CrashEvent[]) => boolean): void {
    for (const [name, crashes] of this.#records) {
      if (this.#records.size <= maxNames) return
      if (mayEvict(name, crashes)) this.#records.delete(name)
    }
  }
}
