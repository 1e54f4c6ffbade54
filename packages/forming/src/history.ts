/**
 * Which orders were given when, and how they ended. Owns two rules: when an order may be repeated, and how long a head may
 * open after an order of the past. Relies on this process's own orders alone; a planner that starts knows none.
 */
import { type Clock } from '@eiderwind/clock'
import { type Order, type OrderResult, type UnfencedOrder } from './orders.js'

/** Time after which the same order is given again, in ms: above the 700 ms that an order may take. */
const repeatAfter = 900

/**
 * How long a head that took an order to open may be listed as not open, in ms: its entry in the
 * list comes after its answer.
 */
const listTime = 3000

/** Entries are forgotten after this, in ms: far above the time that a replica takes to be dissolved. */
const memory = 26_000

/** What tells orders apart. */
type OrderName = Pick<Order, 'kind' | 'node' | 'model' | 'manner'> & Partial<Pick<Order, 'replica'>>

interface Entry {
  /** When the order was given last, on `Clock.now`. */
  readonly at: number
  result: OrderResult | undefined
}

/** The orders of the last seconds, by engine and kind. */
export class OrderHistory {
  readonly #clock: Clock
  readonly #entries = new Map<string, Entry>()
  /** Until when a head that took an order to open may not be listed as open yet, on `Clock.now`, by node and replica. */
  readonly #listedUntil = new Map<string, number>()
  /** Heads that have left a replica, by node and replica: they never open it. */
  readonly #left = new Map<string, number>()
  /** When heads were ordered to leave a replica that they were ordered to neither join nor open since, by node and replica. */
  readonly #leaving = new Map<string, number>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Whether an order may be given: it is new, or was given `repeatAfter` ago. */
  isDue (order: Order): boolean {
    const entry = this.#entries.get(orderKey(order))
    return entry === undefined || this.#clock.now() - entry.at >= repeatAfter
  }

  /**
   * Records that an order is given now. A head that is to join or open a replica again may serve it, whatever it left before; that the
   * order was given counts, since it may be carried out before its answer comes.
   */
  given (order: Order): void {
    const key = headKey(order.node, order.replica)
    if (order.kind === 'leave') this.#leaving.set(key, this.#clock.now())
    if (order.kind === 'join' || order.kind === 'open') {
      this.#leaving.delete(key)
      this.#left.delete(key)
    }
    this.#entries.set(orderKey(order), { at: this.#clock.now(), result: undefined })
  }

  /** Records how an order ended. */
  answered (order: Order, result: OrderResult): void {
    const entry = this.#entries.get(orderKey(order))
    if (entry !== undefined) entry.result = result
    if (result === 'unanswered') return
    const key = headKey(order.node, order.replica)
    // An engine carries out the orders that it answers in turn, so a close ends what an answered open began, but not one that it
    // left unanswered, which may come after it.
    if (order.kind === 'open' && result === 'taken') this.#listedUntil.set(key, this.#clock.now() + listTime)
    if (order.kind === 'close') this.#listedUntil.delete(key)
    if (order.kind === 'leave' && this.#leaving.has(key)) this.#left.set(key, this.#clock.now())
  }

  /** Whether an engine answered an order, whatever it said. */
  hasAnswered (order: UnfencedOrder): boolean {
    const result = this.#entries.get(orderKey(order))?.result
    return result !== undefined && result !== 'unanswered'
  }

  /** Whether an engine accepted an order. */
  wasTaken (order: OrderName): boolean {
    return this.#entries.get(orderKey(order))?.result === 'taken'
  }

  /** Whether an engine refused to join a replica since it has seen a higher epoch: the replica can never become whole. */
  sawHigherEpoch (node: string, replica: string): boolean {
    return this.#entries.get(orderKey({ kind: 'join', node, replica }))?.result === 'stale'
  }

  /** Whether a head may serve a replica although it is not listed as open: until it answers an order to close. */
  mayServe (node: string, replica: string): boolean {
    return this.#clock.now() < (this.#listedUntil.get(headKey(node, replica)) ?? 0)
  }

  /** Whether a head was ordered to leave a replica. The order may not be carried out yet, or never arrive. */
  isLeaving (node: string, replica: string): boolean {
    return this.#leaving.has(headKey(node, replica))
  }

  /** Whether a head has left a replica, so that no order can make it open that any more. */
  hasLeft (node: string, replica: string): boolean {
    return this.#left.has(headKey(node, replica))
  }

  /** Forgets what no rule asks about any more. */
  sweep (): void {
    const before = this.#clock.now() - memory
    for (const [key, { at }] of this.#entries) if (at < before) this.#entries.delete(key)
    for (const times of [this.#listedUntil, this.#leaving, this.#left]) {
      for (const [key, at] of times) if (at < before) times.delete(key)
    }
  }
}

/** Orders with the same key are repetitions of each other. */
function orderKey ({ kind, node, replica = '', model, manner }: OrderName): string {
  return kind === 'stage' ? `${node} stage ${model ?? ''}` : `${node} ${kind}${manner ?? ''} ${replica}`
}

function headKey (node: string, replica: string): string {
  return `${node} ${replica}`
}
