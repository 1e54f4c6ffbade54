/**
 * Which requests were in flight at upstreams when they crashed, and what follows for them. Owns the records; relies on its callers to report crashes
 * from all gateways, and runs that came to an end.
 *
 * A crash takes some 20 requests with it, and all of them but one only ran beside the one that caused it. So no request is blocked for having been
 * there. After two crashes a request is suspected: from then on it runs where no other suspect does (`Trials`), and only a crash in which it was the
 * only suspect blocks it. A run to its end clears it.
 */
import { type Clock } from '@eiderwind/clock'

/** What may be done with a request. `suspected`: it may run, but not beside another suspect. `blocked`: it is not sent to any upstream. */
export type Standing = 'trusted' | 'suspected' | 'blocked'

/** An upstream that crashed, and the requests that were in flight there, by fingerprint. */
export interface Crash {
  readonly upstream: string
  /** When its connections broke, in ms on `Clock.now`. */
  readonly at: number
  readonly requests: readonly string[]
}

/** A request that is sent to no upstream. */
export interface BlockedRequest {
  /** Its fingerprint. */
  readonly request: string
  /** Time since it was blocked, in ms. */
  readonly age: number
}

/** Dependencies of `CrashHistory`. */
export interface CrashHistoryOptions {
  readonly clock: Clock
  /** Called when a request may be sent again or never will be: those that wait for that look again. */
  readonly changed: () => void
  /** Called when a request is blocked by a verdict given here, with the upstreams that crashed under it. */
  readonly blocked: (request: string, upstreams: readonly string[]) => void
}

/** Crashes after which a request is suspected. One more that it alone can have caused, and it is blocked: so it costs three engines. */
const suspectedAfter = 2

/**
 * Crashes after which a request is blocked even where there was another suspect each time: several harmful requests at once meet each other, and gateways hear
 * of each other's trials too late. In a model of 3, 13 and 35 gateways with ten harmful requests at once (crashes/test/harm.test.ts) 22, 35 and 35 engines
 * crash; with 5 it is 29, 41 and 42 at the same 2 in 10,000 to 1 in 1,000 other requests refused, with 3 it is 13, 21 and 27, and up to 1 in 10 are refused.
 */
const blockedAfter = 4

/**
 * Time in which reports of one crash by different gateways are one crash, in ms: an engine that crashes is back after some seconds, perhaps under
 * the same id, and can crash again only then.
 */
const sameCrash = 1500

/**
 * Time between a crash and the verdict on it, in ms, in which the other gateways report who else was in flight there: many times the way between
 * gateways, and far below the time after which callers leave a silent stream (2 s).
 */
const settleTime = 150

/** How long a request that is not blocked is remembered after the last crash, in ms: callers have returned after half a minute. */
const suspicionMemory = 10 * 60_000

/** Time after which a blocked request may run once more, as a suspect, in ms: its engines may have been mended. */
const blockTime = 60 * 60_000

/**
 * Requests that are remembered: a bound on memory where each crash leaves 20 that never come again. With 400 crashes of 20 requests each the history held
 * 1.2 MB (heap after a collection), the crashes of the last minutes included, whose number is not bounded.
 */
const mostRequests = 2000

/** A crash that several gateways may report. */
interface CrashEvent {
  readonly upstream: string
  readonly at: number
  readonly requests: Set<string>
  /** Whether it is known to be a crash and not only a broken connection. */
  confirmed: boolean
  /** Whether all that concerns it should be known, and the verdict was given. */
  settled: boolean
}

/** What is known of one request. */
interface RequestRecord {
  readonly crashes: CrashEvent[]
  /** On `Clock.now`; undefined where it is not blocked. */
  blockedAt: number | undefined
}

/** The crashes of the last minutes, by request. */
export class CrashHistory {
  readonly #options: CrashHistoryOptions
  readonly #records = new Map<string, RequestRecord>()
  /** The newest crash of each upstream. */
  readonly #crashes = new Map<string, CrashEvent>()

  constructor (options: CrashHistoryOptions) {
    this.#options = options
  }

  /** Whether there is nothing to ask for. */
  get isEmpty (): boolean {
    return this.#records.size === 0
  }

  standing (request: string): Standing {
    const record = this.#records.get(request)
    if (record === undefined) return 'trusted'
    if (this.blockedFor(request) > 0) return 'blocked'
    return record.crashes.length >= suspectedAfter || record.blockedAt !== undefined ? 'suspected' : 'trusted'
  }

  /** Time for which a request stays blocked, in ms; 0 where it is not. */
  blockedFor (request: string): number {
    const blockedAt = this.#records.get(request)?.blockedAt
    return blockedAt === undefined ? 0 : Math.max(0, blockedAt + blockTime - this.#options.clock.now())
  }

  /** Whether there is no verdict yet on a crash that a request was in. */
  isPending (request: string): boolean {
    return this.#records.get(request)?.crashes.some(each => !each.settled) === true
  }

  /** The blocked requests. */
  get blocked (): BlockedRequest[] {
    const now = this.#options.clock.now()
    return [...this.#records].flatMap(([request, { blockedAt }]) => blockedAt === undefined || this.blockedFor(request) === 0 ? [] : [{ request, age: now - blockedAt }])
  }

  /** Takes that the connections to an upstream broke, which may have been a crash: until that is known the requests count as if it was. */
  suspect (crash: Crash): void {
    this.#take(crash)
  }

  /** Takes that an upstream has crashed. */
  confirm (crash: Crash): void {
    const event = this.#take(crash)
    if (event.confirmed) return
    event.confirmed = true
    this.#options.clock.after(settleTime, () => this.#settle(event))
  }

  /** Takes that the upstream whose connections broke did not crash, as far as this gateway sees: unless another one has seen it. */
  withdraw (upstream: string): void {
    const event = this.#crashes.get(upstream)
    if (event === undefined || event.confirmed) return
    this.#crashes.delete(upstream)
    for (const request of event.requests) this.#forgetCrash(request, event)
    this.#options.changed()
  }

  /** Takes that a request has run to its end without harm. Returns whether it was in any crash. */
  clear (request: string): boolean {
    const known = this.#records.delete(request)
    if (known) this.#options.changed()
    return known
  }

  /** Takes that a request is blocked, from another gateway. @param age time since it was blocked, in ms */
  block (request: string, age: number): void {
    if (this.blockedFor(request) > 0) return
    this.#record(request).blockedAt = this.#options.clock.now() - age
    this.#options.changed()
  }

  #take ({ upstream, at, requests }: Crash): CrashEvent {
    const last = this.#crashes.get(upstream)
    const event = last !== undefined && Math.abs(last.at - at) < sameCrash ? last : { upstream, at, requests: new Set<string>(), confirmed: false, settled: false }
    this.#crashes.set(upstream, event)
    const added = [...new Set(requests)].filter(each => !event.requests.has(each))
    for (const request of added) this.#add(request, event)
    // Reports are repeated: one that says nothing new has nothing forgotten.
    if (added.length > 0) this.#forget()
    return event
  }

  #add (request: string, event: CrashEvent): void {
    event.requests.add(request)
    this.#record(request).crashes.push(event)
  }

  #record (request: string): RequestRecord {
    const record = this.#records.get(request) ?? { crashes: [], blockedAt: undefined }
    // At the end of the order in which records are forgotten.
    this.#records.delete(request)
    this.#records.set(request, record)
    return record
  }

  #forgetCrash (request: string, event: CrashEvent): void {
    const record = this.#records.get(request)
    if (record === undefined) return
    const crashes = record.crashes.filter(each => each !== event)
    if (crashes.length === 0 && record.blockedAt === undefined) this.#records.delete(request)
    else this.#records.set(request, { ...record, crashes })
  }

  /** The verdict on a crash, once all gateways have said who was there. */
  #settle (event: CrashEvent): void {
    event.settled = true
    const suspects = [...event.requests].filter(each => this.#wasSuspected(each, event))
    if (suspects.length === 1) this.#block(suspects[0])
    for (const request of event.requests) {
      if ((this.#records.get(request)?.crashes.length ?? 0) >= blockedAfter) this.#block(request)
    }
    this.#options.changed()
  }

  /** Whether a request was suspected already when it was in a crash. */
  #wasSuspected (request: string, event: CrashEvent): boolean {
    const { crashes = [], blockedAt } = this.#records.get(request) ?? {}
    return blockedAt !== undefined || crashes.filter(each => each.at < event.at).length >= suspectedAfter
  }

  #block (request: string): void {
    const record = this.#record(request)
    if (this.blockedFor(request) > 0) return
    record.blockedAt = this.#options.clock.now()
    this.#options.blocked(request, record.crashes.map(each => each.upstream))
  }

  /** Forgets what is too old, and the oldest where there are too many. Blocked requests stay longest. */
  #forget (): void {
    const before = this.#options.clock.now() - suspicionMemory
    for (const [upstream, { at }] of this.#crashes) if (at < before) this.#crashes.delete(upstream)
    for (const [request, { crashes, blockedAt }] of this.#records) {
      if (blockedAt === undefined && crashes.every(each => each.at < before)) this.#records.delete(request)
    }
    if (this.#records.size > mostRequests) this.#forgetOldest((_request, { crashes, blockedAt }) => blockedAt === undefined && crashes.length < suspectedAfter)
    if (this.#records.size > mostRequests) this.#forgetOldest(() => true)
  }

  #forgetOldest (may: (request: string, record: RequestRecord) => boolean): void {
    for (const [request, record] of this.#records) {
      if (this.#records.size <= mostRequests) return
      if (may(request, record)) this.#records.delete(request)
    }
  }
}
