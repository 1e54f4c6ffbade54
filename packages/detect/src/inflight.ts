/**
 * This gateway's requests in flight, by upstream and by model, and when each upstream last sent anything.
 * Owns the counts that the choice of an upstream, the heartbeats to other gateways and the stall detector read.
 * Relies on forwarding to report the start, every received byte and the end of each attempt.
 */
import { type Clock } from '@eiderwind/clock'
import { RecentEvents } from './recent.js'

/** What is done about a request in flight. */
export interface InFlightHandlers {
  /** Called when the upstream is suspected of having stalled, or this request alone has. */
  readonly stalled?: (() => void) | undefined
  /** Called when the request should go on elsewhere, with the reason, although its upstream works. Returns whether it does. */
  readonly moved?: ((why: string) => boolean) | undefined
  /** Called when the upstream has certainly ended. */
  readonly lost?: () => void
  /** Called when nothing more may be sent to the upstream, with the reason: a request that has not left yet must not. */
  readonly withdrawn?: (why: string) => void
}

/** A request in flight at one upstream. */
export class InFlightRequest {
  readonly upstream: string
  readonly model: string
  /** When it was sent, on `Clock.now`. */
  readonly sentAt: number
  /** When anything was last received for it, or when it was sent, on `Clock.now`. */
  receivedAt: number
  /** Whether its upstream is not read, since its caller does not read. */
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
interface Load {
  readonly requests: Set<InFlightRequest>
  /** When anything was last received from it, on `Clock.now`. */
  receivedAt: number
}

/** Counts requests in flight by upstream and model. */
export class InFlight {
  readonly #clock: Clock
  readonly #loads = new Map<string, Load>()
  readonly #models = new Map<string, number>()
  /** Places at upstreams that are kept for requests about to be sent there. */
  readonly #kept = new Map<string, number>()
  /** Requests that were sent, by model. */
  readonly #begun: RecentEvents
  readonly #ended: (request: InFlightRequest) => void

  /** @param ended called after each request has ended, when its place is free again */
  constructor (clock: Clock, ended: (request: InFlightRequest) => void) {
    this.#clock = clock
    this.#begun = new RecentEvents(clock)
    this.#ended = ended
  }

  /** Requests in flight at an upstream, and those about to be sent there. */
  count (upstream: string): number {
    return (this.#loads.get(upstream)?.requests.size ?? 0) + (this.#kept.get(upstream) ?? 0)
  }

  /**
   * Keeps a place at an upstream for a request that was chosen for it, until it begins: of several that wait for room, the next one then sees that it is taken.
   * Returns what ends that.
   */
  keep (upstream: string): () => void {
    this.#kept.set(upstream, (this.#kept.get(upstream) ?? 0) + 1)
    let isKept = true
    return () => {
      if (!isKept) return
      isKept = false
      const left = (this.#kept.get(upstream) ?? 1) - 1
      if (left === 0) this.#kept.delete(upstream)
      else this.#kept.set(upstream, left)
    }
  }

  /** All requests in flight. */
  get total (): number {
    return [...this.#loads.values()].reduce((sum, { requests }) => sum + requests.size, 0)
  }

  /** Requests in flight by upstream; upstreams without any are left out. */
  get counts (): Record<string, number> {
    return Object.fromEntries([...this.#loads].map(([id, { requests }]) => [id, requests.size]))
  }

  /** Requests in flight by model; '' stands for requests that name none. */
  get models (): Record<string, number> {
    return Object.fromEntries(this.#models)
  }

  /** Adds a request that is sent now. */
  begin (upstream: string, model: string, handlers: InFlightHandlers = {}): InFlightRequest {
    const request = new InFlightRequest(upstream, model, this.#clock.now(), handlers)
    const load = this.#loads.get(upstream) ?? { requests: new Set<InFlightRequest>(), receivedAt: -Infinity }
    load.requests.add(request)
    this.#loads.set(upstream, load)
    this.#models.set(model, (this.#models.get(model) ?? 0) + 1)
    this.#begun.add(model)
    return request
  }

  /** Requests of a model that were sent in the last second. */
  rate (model: string): number {
    return this.#begun.count(model)
  }

  /** Records that something was received for a request, and so from its upstream. */
  received (request: InFlightRequest): void {
    request.receivedAt = this.#clock.now()
    const load = this.#loads.get(request.upstream)
    if (load !== undefined) load.receivedAt = request.receivedAt
  }

  /** Records that nothing is read for a request, so that silence says nothing of its upstream. */
  pause (request: InFlightRequest): void {
    request.paused = true
  }

  /** Records that a request is read again; its silence counts from now on. */
  resume (request: InFlightRequest): void {
    request.paused = false
    this.received(request)
  }

  /** Removes a request that has ended. A second call does nothing. */
  end (request: InFlightRequest): void {
    const load = this.#loads.get(request.upstream)
    if (load?.requests.delete(request) !== true) return
    if (load.requests.size === 0) this.#loads.delete(request.upstream)
    this.#models.set(request.model, (this.#models.get(request.model) ?? 1) - 1)
    this.#ended(request)
  }

  /** Whether anything was received for a request that is in flight at an upstream. */
  hasBegun (upstream: string): boolean {
    return [...this.#loads.get(upstream)?.requests ?? []].some(each => each.receivedAt > each.sentAt)
  }

  /** Requests in flight for which nothing was received for longer than `limit` ms, whatever else their upstream sends. */
  silentRequests (limit: number): InFlightRequest[] {
    const before = this.#clock.now() - limit
    return [...this.#loads.values()].flatMap(({ requests }) => [...requests].filter(each => !each.paused && each.receivedAt < before))
  }

  /** Withdraws the requests for an upstream that have not left yet. */
  withdraw (upstream: string, why: string): void {
    for (const each of this.at(upstream)) each.handlers.withdrawn?.(why)
  }

  /** The requests in flight at an upstream. */
  at (upstream: string): InFlightRequest[] {
    return [...this.#loads.get(upstream)?.requests ?? []]
  }

  /**
   * Upstreams from which nothing was received for longer than `limit(upstream)` ms. The silence counts from the last byte
   * received or, where that is later, from the oldest request in flight that is read: an idle upstream owes no bytes.
   */
  silent (limit: (upstream: string) => number): string[] {
    const now = this.#clock.now()
    return [...this.#loads].filter(([upstream, { requests, receivedAt }]) => {
      const read = [...requests].filter(each => !each.paused)
      const oldest = Math.min(...read.map(each => each.sentAt))
      return now - Math.max(receivedAt, oldest) > limit(upstream)
    }).map(([upstream]) => upstream)
  }
}
