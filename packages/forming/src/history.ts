/**
 * Which orders were given when, and how they ended. Owns two rules: when an order may be repeated, and how long a head may
 * open after an order of the past. Relies on this process's own orders alone; a planner that starts knows none.
 */
import { type Clock } from '@eiderwind/clock'
import { type Order, type OrderResult } from './orders.js'

/** Time after which the same order is given again, in ms. Chosen, not measured; above the 700 ms that an order may take. */
const repeatAfter = 900

/**
 * How long an order to open without an answer may still be carried out, in ms. Chosen, not measured: the platform says only
 * that it may happen seconds later.
 */
const lateTime = 13_000

/**
 * How long a head that took an order to open may be listed as not open, in ms. Soak seed 140 showed the need
 * (docs/INCIDENTS.md); the time was chosen, not measured.
 */
const listTime = 3000

/** Entries are forgotten after this, in ms: twice the longest time for which one is asked about. */
const memory = 2 * lateTime

interface Entry {
  /** When the order was given last, on `Clock.now`. */
  readonly at: number
  result: OrderResult | undefined
}

/** The orders of the last seconds, by engine and kind. */
export class OrderHistory {
  readonly #clock: Clock
  readonly #entries = new Map<string, Entry>()
  /** Until when a head may open without being listed as open, on `Clock.now`, by node and replica. */
  readonly #opensUntil = new Map<string, number>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Whether an order may be given: it is new, or was given `repeatAfter` ago. */
  isDue (order: Order): boolean {
    const entry = this.#entries.get(orderKey(order))
    return entry === undefined || this.#clock.now() - entry.at >= repeatAfter
  }

  /** Records that an order is given now. */
  given (order: Order): void {
    this.#entries.set(orderKey(order), { at: this.#clock.now(), result: undefined })
    if (order.kind === 'open') this.#opensUntil.set(headKey(order.node, order.replica), this.#clock.now() + lateTime)
  }

  /** Records how an order ended. */
  answered (order: Order, result: OrderResult): void {
    const entry = this.#entries.get(orderKey(order))
    if (entry !== undefined) entry.result = result
    if (result === 'unanswered') return
    const key = headKey(order.node, order.replica)
    // An engine carries out orders in turn, so its answer to a close comes after every open that it has answered.
    if (order.kind === 'open' && result === 'taken') this.#opensUntil.set(key, this.#clock.now() + listTime)
    else if (order.kind === 'open' || order.kind === 'close') this.#opensUntil.delete(key)
  }

  /** Whether an engine accepted an order. */
  wasTaken (order: Order): boolean {
    return this.#entries.get(orderKey(order))?.result === 'taken'
  }

  /** Whether an engine refused to join a replica since it has seen a higher epoch: the replica can never become whole. */
  sawHigherEpoch (node: string, replica: string): boolean {
    return this.#entries.get(orderKey({ kind: 'join', node, replica }))?.result === 'stale'
  }

  /** Whether a head may serve a replica although it is not listed as open. */
  mayOpen (node: string, replica: string): boolean {
    return this.#clock.now() < (this.#opensUntil.get(headKey(node, replica)) ?? 0)
  }

  /** Forgets what no rule asks about any more. */
  sweep (): void {
    const before = this.#clock.now() - memory
    for (const [key, { at }] of this.#entries) if (at < before) this.#entries.delete(key)
    for (const [key, until] of this.#opensUntil) if (until < before) this.#opensUntil.delete(key)
  }
}

/** Orders with the same key are repetitions of each other. */
function orderKey ({ kind, node, replica, model, manner }: Pick<Order, 'kind' | 'node' | 'replica' | 'model' | 'manner'>): string {
  return kind === 'stage' ? `${node} stage ${model ?? ''}` : `${node} ${kind}${manner ?? ''} ${replica}`
}

function headKey (node: string, replica: string): string {
  return `${node} ${replica}`
}
