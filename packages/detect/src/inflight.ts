/**
 * Tracks this gateway's requests in flight, by upstream and by model, and when each upstream last sent anything. Owns
 * the counts that upstream selection, the heartbeats to other gateways and the stall detector read. Relies on
 * forwarding to report the start, every received byte and the end of each attempt.
 */
import { type Clock } from '@eiderwind/clock'
import { RecentEvents } from './recent.js'

/** Callbacks of a request in flight. */
export interface InFlightHandlers {
  /** Called when the upstream is suspected of having stalled, or when this request alone has stalled. */
  readonly stalled?: (() => void) | undefined
  /**
   * Called with the reason when the request should move to another upstream although its own works. Returns whether it
   * moves.
   */
  readonly moved?: ((why: string) => boolean) | undefined
  /** Called when the upstream has certainly ended. */
  readonly lost?: () => void
  /**
   * Called with the reason when nothing more may be sent to the upstream. A request that has not been sent yet must not
   * be sent.
   */
  readonly withdrawn?: (why: string) => void
}

/** A request in flight at one upstream. */
export class InFlightRequest {
  readonly upstream: string
  readonly model: string
  /** When it was sent, on `Clock.now`. */
  readonly sentAt: number
  /** When anything was last received for it, or else when it was sent, on `Clock.now`. */
  receivedAt: number
  /**
   * Whether its silence says nothing about its upstream: the answer comes as a whole, or reading is paused because the
   * caller does not read.
   */
  paused = false
  readonly handlers: InFlightHandlers

  constructor (upstream: string, model: string, sentAt: number, handlers: InFlightHandlers) {
    this.upstream = upstream
    this.model = model
    this.sentAt = sentAt
    this.receivedAt = sentAt
    this.handlers = handlers
  }
}

/** The requests in flight at one upstream. */
interface UpstreamRequests {
  readonly requests: Set<InFlightRequest>
  /** When anything was last received from the upstream, on `Clock.now`. */
  receivedAt: number
}

/** Counts requests in flight by upstream and model. */
export class InFlight {
  readonly #clock: Clock
  readonly #upstreams = new Map<string, UpstreamRequests>()
  readonly #models = new Map<string, number>()
  /** Requests that are about to be sent, by upstream. Each has a reservation there. */
  readonly #reserved = new Map<string, number>()
  /** Requests sent lately, by model. */
  readonly #sent: RecentEvents
  readonly #ended: (request: InFlightRequest) => void

  /** @param ended called after each request has ended and no longer counts at its upstream */
  constructor (clock: Clock, ended: (request: InFlightRequest) => void) {
    this.#clock = clock
    this.#sent = new RecentEvents(clock)
    this.#ended = ended
  }

  /** Requests in flight at an upstream, plus reservations. */
  count (upstream: string): number {
    return (this.#upstreams.get(upstream)?.requests.size ?? 0) + (this.#reserved.get(upstream) ?? 0)
  }

  /**
   * Reserves capacity at an upstream for a request until the request begins. If several requests wait for room, the
   * next one then sees that this room is taken. Returns a function that ends the reservation.
   */
  reserve (upstream: string): () => void {
    this.#reserved.set(upstream, (this.#reserved.get(upstream) ?? 0) + 1)
    let isReserved = true
    return () => {
      if (!isReserved) return
      isReserved = false
      const left = (this.#reserved.get(upstream) ?? 1) - 1
      if (left === 0) this.#reserved.delete(upstream)
      else this.#reserved.set(upstream, left)
    }
  }

  /** The number of all requests in flight. */
  get total (): number {
    return [...this.#upstreams.values()].reduce((sum, { requests }) => sum + requests.size, 0)
  }

  /** Requests in flight by upstream. Upstreams without any are omitted. */
  get counts (): Record<string, number> {
    return Object.fromEntries([...this.#upstreams].map(([id, { requests }]) => [id, requests.size]))
  }

  /** Requests in flight by model. The key '' stands for requests that name no model. */
  get models (): Record<string, number> {
    return Object.fromEntries(this.#models)
  }

  /** Adds a request that is being sent now. */
  begin (upstream: string, model: string, handlers: InFlightHandlers = {}): InFlightRequest {
    const request = new InFlightRequest(upstream, model, this.#clock.now(), handlers)
    const entry = this.#upstreams.get(upstream) ?? { requests: new Set<InFlightRequest>(), receivedAt: -Infinity }
    entry.requests.add(request)
    this.#upstreams.set(upstream, entry)
    this.#models.set(model, (this.#models.get(model) ?? 0) + 1)
    this.#sent.add(model)
    return request
  }

  /** Requests of a model that were sent in the last second. */
  rate (model: string): number {
    return this.#sent.count(model)
  }

  /** Records that something was received for a request, and so from its upstream. */
  received (request: InFlightRequest): void {
    request.receivedAt = this.#clock.now()
    const entry = this.#upstreams.get(request.upstream)
    if (entry !== undefined) entry.receivedAt = request.receivedAt
  }

  /** Records that the silence of a request says nothing about its upstream from now on. */
  pause (request: InFlightRequest): void {
    request.paused = true
  }

  /** Records that a request is read again. Its silence counts from now on. */
  resume (request: InFlightRequest): void {
    request.paused = false
    this.received(request)
  }

  /** Removes a request that has ended. A second call does nothing. */
  end (request: InFlightRequest): void {
    const entry = this.#upstreams.get(request.upstream)
    if (entry?.requests.delete(request) !== true) return
    if (entry.requests.size === 0) this.#upstreams.delete(request.upstream)
    this.#models.set(request.model, (this.#models.get(request.model) ?? 1) - 1)
    this.#ended(request)
  }

  /** When anything was last received from an upstream with requests in flight, on `Clock.now`. */
  lastReceivedFrom (upstream: string): number | undefined {
    const receivedAt = this.#upstreams.get(upstream)?.receivedAt ?? -Infinity
    return receivedAt === -Infinity ? undefined : receivedAt
  }

  /** Whether anything was received for one of the requests in flight at an upstream. */
  hasReceivedFrom (upstream: string): boolean {
    return [...this.#upstreams.get(upstream)?.requests ?? []].some(each => each.receivedAt > each.sentAt)
  }

  /**
   * Requests in flight for which nothing was received for longer than `limit` ms, whatever else their upstream sends.
   */
  silentRequests (limit: number): InFlightRequest[] {
    const before = this.#clock.now() - limit
    return [...this.#upstreams.values()].flatMap(({ requests }) => [...requests].filter(each => !each.paused && each.receivedAt < before))
  }

  /** Withdraws the requests for an upstream that have not been sent yet. */
  withdraw (upstream: string, why: string): void {
    for (const each of this.requestsAt(upstream)) each.handlers.withdrawn?.(why)
  }

  /** The requests in flight at an upstream. */
  requestsAt (upstream: string): InFlightRequest[] {
    return [...this.#upstreams.get(upstream)?.requests ?? []]
  }

  /**
   * Upstreams from which nothing was received for longer than `limit(upstream)` ms. The silence counts from the last
   * received byte or, if that is later, from the sending of the oldest request in flight: before, the upstream was idle
   * and had nothing to send. Requests whose silence says nothing do not count.
   */
  silentUpstreams (limit: (upstream: string) => number): string[] {
    const now = this.#clock.now()
    return [...this.#upstreams].filter(([upstream, { requests, receivedAt }]) => {
      const read = [...requests].filter(each => !each.paused)
      const oldest = Math.min(...read.map(each => each.sentAt))
      return now - Math.max(receivedAt, oldest) > limit(upstream)
    }).map(([upstream]) => upstream)
  }
}
