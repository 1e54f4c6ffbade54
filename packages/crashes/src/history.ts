/**
 * Records which requests were in flight at upstreams that crashed, and decides which requests are suspected or blocked.
 * This module owns the records. It relies on its callers to report the crashes that any gateway has seen, and the
 * requests that completed.
 *
 * A crash interrupts about 20 requests, and all but one of them only ran beside its cause. So a request is not blocked
 * just because it was in flight. After two crashes a request is suspected: it then runs only where no other suspect
 * runs (`Trials`). A crash in which it was the only suspect blocks it. A completed run clears it.
 */
import { type Clock } from '@eiderwind/clock'

/**
 * How a request may be sent. `suspected`: it may run, but not beside another suspect. `blocked`: it is not sent to any
 * upstream.
 */
export type Standing = 'trusted' | 'suspected' | 'blocked'

/** An upstream that crashed, and the fingerprints of the requests that were in flight there. */
export interface Crash {
  readonly upstream: string
  /** When its connections broke, in ms on `Clock.now`. */
  readonly at: number
  readonly requests: readonly string[]
}

/** A request that is not sent to any upstream. */
export interface BlockedRequest {
  /** Its fingerprint. */
  readonly request: string
  /** Time since it was blocked, in ms. */
  readonly age: number
}

/** Dependencies of `CrashHistory`. */
export interface CrashHistoryOptions {
  readonly clock: Clock
  /** Called when the standing of requests has changed, so that waiting requests check it again. */
  readonly changed: () => void
  /** Called when this gateway decides to block a request, with the upstreams that crashed while they ran it. */
  readonly blocked: (request: string, upstreams: readonly string[]) => void
}

/**
 * Number of crashes after which a request is suspected. One more crash with no other suspect blocks it, so a harmful
 * request costs three engines.
 */
const suspectThreshold = 2

/**
 * Number of crashes after which a request is blocked even if each had another suspect. The limit is needed because
 * several harmful requests may meet at one upstream, and because gateways learn of each other's trials too late.
 *
 * The value comes from a model of 3, 13 and 35 gateways with ten harmful requests at once (crashes/test/harm.test.ts).
 * With a threshold of 4, the numbers of crashed engines in these fleets are 22, 35 and 35, and 2 in 10,000 to 1 in
 * 1,000 other requests are refused. With 5 the numbers are 29, 41 and 42, and the refusals are the same. With 3 the
 * numbers are 13, 21 and 27, and up to 1 in 10 other requests are refused.
 */
const blockThreshold = 4

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
 * Time after its last crash for which a request that is not blocked is remembered, in ms. Callers have returned after
 * half a minute.
 */
const suspicionRetentionMs = 10 * 60_000

/**
 * Time after which a blocked request may run once more as a suspect, in ms. The engines may have been fixed by then.
 */
const blockDurationMs = 60 * 60_000

/**
 * Maximum number of remembered requests. It bounds memory, since each crash leaves 20 requests, most of which never
 * return. With 400 crashes of 20 requests each the history took 1.2 MB (heap after a collection). That includes the
 * crashes of the last minutes, whose number is not bounded.
 */
const maxRequests = 2000

/** A crash that several gateways may report. */
interface CrashEvent {
  readonly upstream: string
  readonly at: number
  readonly requests: Set<string>
  /** Whether it is known to be a crash and not only a broken connection. */
  confirmed: boolean
  /** Whether the time for reports is over and the crash was decided. */
  settled: boolean
}

/** The record of one request. */
interface RequestRecord {
  readonly crashes: CrashEvent[]
  /** When it was blocked, on `Clock.now`; undefined if it never was. */
  blockedAt: number | undefined
}

/** The crashes of the last minutes by request. */
export class CrashHistory {
  readonly #options: CrashHistoryOptions
  readonly #records = new Map<string, RequestRecord>()
  /** The newest crash of each upstream. */
  readonly #crashes = new Map<string, CrashEvent>()

  constructor (options: CrashHistoryOptions) {
    this.#options = options
  }

  /** Whether no request is recorded. */
  get isEmpty (): boolean {
    return this.#records.size === 0
  }

  standing (request: string): Standing {
    const record = this.#records.get(request)
    if (record === undefined) return 'trusted'
    if (this.blockedFor(request) > 0) return 'blocked'
    return record.crashes.length >= suspectThreshold || record.blockedAt !== undefined ? 'suspected' : 'trusted'
  }

  /** Time for which a request stays blocked, in ms; 0 if it is not blocked. */
  blockedFor (request: string): number {
    const blockedAt = this.#records.get(request)?.blockedAt
    return blockedAt === undefined ? 0 : Math.max(0, blockedAt + blockDurationMs - this.#options.clock.now())
  }

  /** Whether a crash that the request was in is undecided. */
  isPending (request: string): boolean {
    return this.#records.get(request)?.crashes.some(each => !each.settled) === true
  }

  /** The blocked requests. */
  get blocked (): BlockedRequest[] {
    const now = this.#options.clock.now()
    return [...this.#records].flatMap(([request, { blockedAt }]) => blockedAt === undefined || this.blockedFor(request) === 0 ? [] : [{ request, age: now - blockedAt }])
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
    const event = this.#crashes.get(upstream)
    if (event === undefined || event.confirmed) return
    this.#crashes.delete(upstream)
    for (const request of event.requests) this.#removeCrash(request, event)
    this.#options.changed()
  }

  /** Records that a request has completed. Returns whether it was in any crash. */
  clear (request: string): boolean {
    const known = this.#records.delete(request)
    if (known) this.#options.changed()
    return known
  }

  /** Adds a request that another gateway has blocked. @param age time since it was blocked, in ms */
  block (request: string, age: number): void {
    if (this.blockedFor(request) > 0) return
    this.#requestRecord(request).blockedAt = this.#options.clock.now() - age
    this.#options.changed()
  }

  #recordCrash ({ upstream, at, requests }: Crash): CrashEvent {
    const last = this.#crashes.get(upstream)
    const event = last !== undefined && Math.abs(last.at - at) < sameCrashWindowMs ? last : { upstream, at, requests: new Set<string>(), confirmed: false, settled: false }
    this.#crashes.set(upstream, event)
    const added = [...new Set(requests)].filter(each => !event.requests.has(each))
    for (const request of added) this.#add(request, event)
    // Reports are repeated. A report without new requests evicts nothing.
    if (added.length > 0) this.#evict()
    return event
  }

  #add (request: string, event: CrashEvent): void {
    event.requests.add(request)
    this.#requestRecord(request).crashes.push(event)
  }

  #requestRecord (request: string): RequestRecord {
    const record = this.#records.get(request) ?? { crashes: [], blockedAt: undefined }
    // Moves the record to the end of the eviction order.
    this.#records.delete(request)
    this.#records.set(request, record)
    return record
  }

  #removeCrash (request: string, event: CrashEvent): void {
    const record = this.#records.get(request)
    if (record === undefined) return
    const crashes = record.crashes.filter(each => each !== event)
    if (crashes.length === 0 && record.blockedAt === undefined) this.#records.delete(request)
    else this.#records.set(request, { ...record, crashes })
  }

  /** Decides on a crash, after all gateways had time to report their requests in flight. */
  #settle (event: CrashEvent): void {
    event.settled = true
    const suspects = [...event.requests].filter(each => this.#wasSuspected(each, event))
    if (suspects.length === 1) this.#block(suspects[0])
    for (const request of event.requests) {
      if ((this.#records.get(request)?.crashes.length ?? 0) >= blockThreshold) this.#block(request)
    }
    this.#options.changed()
  }

  /** Whether a request was already suspected when a crash happened. */
  #wasSuspected (request: string, event: CrashEvent): boolean {
    const { crashes = [], blockedAt } = this.#records.get(request) ?? {}
    return blockedAt !== undefined || crashes.filter(each => each.at < event.at).length >= suspectThreshold
  }

  #block (request: string): void {
    const record = this.#requestRecord(request)
    if (this.blockedFor(request) > 0) return
    record.blockedAt = this.#options.clock.now()
    this.#options.blocked(request, record.crashes.map(each => each.upstream))
  }

  /**
   * Evicts records that are too old, and the oldest ones if there are too many. Suspected and blocked requests are
   * evicted last.
   */
  #evict (): void {
    const before = this.#options.clock.now() - suspicionRetentionMs
    for (const [upstream, { at }] of this.#crashes) if (at < before) this.#crashes.delete(upstream)
    for (const [request, { crashes, blockedAt }] of this.#records) {
      if (blockedAt === undefined && crashes.every(each => each.at < before)) this.#records.delete(request)
    }
    if (this.#records.size > maxRequests) this.#evictOldest((_request, { crashes, blockedAt }) => blockedAt === undefined && crashes.length < suspectThreshold)
    if (this.#records.size > maxRequests) this.#evictOldest(() => true)
  }

  #evictOldest (mayEvict: (request: string, record: RequestRecord) => boolean): void {
    for (const [request, record] of this.#records) {
      if (this.#records.size <= maxRequests) return
      if (mayEvict(request, record)) this.#records.delete(request)
    }
  }
}
