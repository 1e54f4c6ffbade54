/**
 * Records which orders were sent when, and how they ended. Owns two rules: when an order may be repeated, and how long
 * a head may still open because of an earlier order. Relies only on this process's own orders; a planner that starts
 * has none.
 */
import { type Clock } from '@eiderwind/clock'
import { type Order, type OrderResult, type UnfencedOrder } from './orders.js'

/** Time after which the same order is sent again, in ms. It exceeds the 700 ms that an order may take. */
const repeatInterval = 900

/**
 * How long a head that accepted an order to open may be listed as not open, in ms. Its entry in the list changes after
 * its answer.
 */
const listingDelay = 3000

/** Entries are removed after this time, in ms. It is far above the time in which a replica is dissolved. */
const entryRetention = 26_000

/** The fields that distinguish orders. */
type OrderIdentity = Pick<Order, 'kind' | 'node' | 'model' | 'manner'> & Partial<Pick<Order, 'replica'>>

interface Entry {
  /** When the order was last sent, on `Clock.now`. */
  readonly sentAt: number
  result: OrderResult | undefined
}

/** The orders of the last seconds, by engine and kind. */
export class OrderHistory {
  readonly #clock: Clock
  readonly #entries = new Map<string, Entry>()
  /**
   * Time until which a head that accepted an order to open may serve without being listed as open, on `Clock.now`, by
   * node and replica.
   */
  readonly #mayServeUntil = new Map<string, number>()
  /**
   * Times at which engines left a replica, by node and replica. An order from before that time cannot make a head open
   * it.
   */
  readonly #left = new Map<string, number>()
  /** Times at which replicas were left by their heads, by replica. */
  readonly #abandonedAt = new Map<string, number>()
  /**
   * Times at which engines were ordered to leave a replica, by node and replica. A later order to join or open the
   * replica removes the entry.
   */
  readonly #leaveOrderedAt = new Map<string, number>()
  /**
   * Times at which engines last left an order to join a replica unanswered, by node and replica. The engine may carry it
   * out later, also after a repeated order that it answered.
   */
  readonly #joinUnansweredAt = new Map<string, number>()
  /** Since when and until when replicas were planned while this process was the leader, on `Clock.now`, by replica. */
  readonly #planned = new Map<string, { readonly since: number, readonly until: number }>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Whether an order may be sent: it is new, or was last sent at least `repeatInterval` ago. */
  isDue (order: Order): boolean {
    const entry = this.#entries.get(orderKey(order))
    return entry === undefined || this.#clock.now() - entry.sentAt >= repeatInterval
  }

  /**
   * Records that an order is sent now. A head that is ordered to join or open a replica again may serve it, even if it
   * left the replica before. The order counts as soon as it is sent, because it may be carried out before its answer
   * arrives.
   */
  recordSent (order: Order): void {
    const key = headKey(order.node, order.replica)
    if (order.kind === 'leave') this.#leaveOrderedAt.set(key, this.#clock.now())
    if (order.kind === 'join' || order.kind === 'open') {
      this.#leaveOrderedAt.delete(key)
      this.#left.delete(key)
      if (order.node === order.members?.[0] || order.kind === 'open') this.#abandonedAt.delete(order.replica)
    }
    this.#entries.set(orderKey(order), { sentAt: this.#clock.now(), result: undefined })
  }

  /** Records how an order ended. */
  recordResult (order: Order, result: OrderResult): void {
    const entry = this.#entries.get(orderKey(order))
    if (entry !== undefined) entry.result = result
    const key = headKey(order.node, order.replica)
    if (result === 'unanswered' && order.kind === 'join') this.#joinUnansweredAt.set(key, this.#clock.now())
    if (result === 'unanswered') return
    // An engine carries out the orders that it answers in sequence. A close therefore ends the effect of an answered
    // open. It does not end the effect of an unanswered open, which may be carried out after it.
    if (order.kind === 'open' && result === 'taken') this.#mayServeUntil.set(key, this.#clock.now() + listingDelay)
    if (order.kind === 'close') this.#mayServeUntil.delete(key)
    if (order.kind === 'leave' && this.#leaveOrderedAt.has(key)) this.#left.set(key, this.#clock.now())
  }

  /** Records that the head of a replica has answered an order to leave it. */
  recordHeadLeft (node: string, replica: string): void {
    if (this.hasLeft(node, replica)) this.#abandonedAt.set(replica, this.#clock.now())
  }

  /** Whether the head of a replica has left it, so that no earlier order can make the replica serve. */
  isAbandonedByHead (replica: string): boolean {
    return this.#abandonedAt.has(replica)
  }

  /** Whether an engine answered an order, with any result. */
  hasAnswered (order: UnfencedOrder): boolean {
    const result = this.#entries.get(orderKey(order))?.result
    return result !== undefined && result !== 'unanswered'
  }

  /** Whether a head accepted an order to close a replica and to cut its requests. */
  hasCut (node: string, replica: string): boolean {
    return this.wasTaken({ kind: 'close', node, replica, manner: 'cut' })
  }

  /** Whether an engine accepted an order. */
  wasTaken (order: OrderIdentity): boolean {
    return this.#entries.get(orderKey(order))?.result === 'taken'
  }

  /**
   * Whether an engine refused to join a replica because it has seen a higher epoch. Such a replica can never become
   * complete.
   */
  sawHigherEpoch (node: string, replica: string): boolean {
    return this.#entries.get(orderKey({ kind: 'join', node, replica }))?.result === 'stale'
  }

  /**
   * Records that an order was held back after it was recorded as sent. It is due again at once. An order that loads has
   * acquired a permit, and would acquire another one each time: it is due again as if it had been sent.
   */
  recordHeldBack (order: Order): void {
    if (!order.loads) this.#entries.delete(orderKey(order))
  }

  /**
   * Whether an engine may still carry out an order to join a replica: it left one unanswered, or another planner sent
   * the orders and may have done so lately.
   */
  mayJoinLate (node: string, replica: string): boolean {
    if (this.#joinUnansweredAt.has(headKey(node, replica))) return true
    return !this.wasTaken({ kind: 'join', node, replica }) && !this.#isSettled(replica)
  }

  /**
   * Whether an engine may still carry out an order to join another replica than `replica`, one that may serve: its head
   * is not known to have left it.
   */
  mayJoinAnotherLate (node: string, replica: string): boolean {
    const keys = [...this.#joinUnansweredAt.keys(), ...this.#left.keys()]
    const replicas = keys.filter(key => key.startsWith(headKey(node, ''))).map(key => key.slice(headKey(node, '').length))
    return replicas.some(each => each !== replica && !this.isAbandonedByHead(each) && this.mayJoinLate(node, each))
  }

  /**
   * Records that an engine reports a replica that it had left. It has carried out an order to join late, or its report is
   * older than that and such an order may still come.
   */
  recordJoinedAgain (node: string, replica: string): void {
    const key = headKey(node, replica)
    this.#left.delete(key)
    this.#joinUnansweredAt.set(key, this.#clock.now())
  }

  /** Records the replicas that are planned now. */
  recordPlanned (replicas: readonly string[]): void {
    const now = this.#clock.now()
    for (const each of replicas) this.#planned.set(each, { since: this.#planned.get(each)?.since ?? now, until: now })
  }

  /** Whether a replica has been planned for so long that no order from before this process planned it is still late. */
  #isSettled (replica: string): boolean {
    const planned = this.#planned.get(replica)
    return planned !== undefined && this.#clock.now() - planned.since > entryRetention
  }

  /**
   * Whether a head may serve a replica although it is not listed as open. Ends when the head answers an order to close.
   */
  mayServe (node: string, replica: string): boolean {
    return this.#clock.now() < (this.#mayServeUntil.get(headKey(node, replica)) ?? 0)
  }

  /**
   * Whether a head was ordered to leave a replica. The order may not have been carried out yet, or may never arrive.
   */
  wasOrderedToLeave (node: string, replica: string): boolean {
    return this.#leaveOrderedAt.has(headKey(node, replica))
  }

  /** Whether a head was ordered to open a replica. The order may not have been carried out yet. */
  wasOrderedToOpen (node: string, replica: string): boolean {
    return this.#entries.has(orderKey({ kind: 'open', node, replica }))
  }

  /** Whether an engine has left a replica. If it is the head, no earlier order can make it open the replica. */
  hasLeft (node: string, replica: string): boolean {
    return this.#left.has(headKey(node, replica))
  }

  /** Removes the entries that no rule needs any more. */
  sweep (): void {
    const before = this.#clock.now() - entryRetention
    for (const [key, { sentAt }] of this.#entries) if (sentAt < before) this.#entries.delete(key)
    for (const times of [this.#mayServeUntil, this.#leaveOrderedAt, this.#left, this.#abandonedAt, this.#joinUnansweredAt]) {
      for (const [key, at] of times) if (at < before) times.delete(key)
    }
    for (const [replica, { until }] of this.#planned) if (until < before) this.#planned.delete(replica)
  }
}

/** The key of an order. Orders with the same key are repetitions of each other. */
function orderKey ({ kind, node, replica = '', model, manner }: OrderIdentity): string {
  return kind === 'stage' ? `${node} stage ${model ?? ''}` : `${node} ${kind}${manner ?? ''} ${replica}`
}

function headKey (node: string, replica: string): string {
  return `${node} ${replica}`
}
