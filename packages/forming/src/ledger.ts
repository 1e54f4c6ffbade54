import { type Clock } from '@eiderwind/clock'
import { type Order } from './facts.js'

/**
 * What became of an order: `taken`, `refused` (it does not fit), `stale` (a higher epoch came before), `closed` (nothing
 * listens at the engine's address), or `unanswered`: nobody can tell.
 */
export type OrderResult = 'taken' | 'refused' | 'stale' | 'closed' | 'unanswered'

/** An order without an answer may still be carried out for this long, in ms. */
const lateTime = 13_000

/** What an order did may be listed this much later, in ms. */
const listTime = 3000

interface Entry {
  at: number
  result: OrderResult | undefined
}

/** Which orders were given when, and what became of them, so that none is repeated too soon and late ones are expected. */
export class Ledger {
  readonly #clock: Clock
  readonly #repeatAfter: number
  readonly #entries = new Map<string, Entry>()
  /** Until when orders to open may show, or still be carried out, by engine and replica. */
  readonly #opens = new Map<string, number>()

  /** @param repeatAfter time after which the same order is given again, in ms */
  constructor (clock: Clock, repeatAfter: number) {
    this.#clock = clock
    this.#repeatAfter = repeatAfter
  }

  /** Whether an order is due: it was not given yet, or long enough ago. */
  due (order: Order): boolean {
    const entry = this.#entries.get(key(order))
    return entry === undefined || this.#clock.now() - entry.at >= this.#repeatAfter
  }

  /** Notes that an order is given now. */
  given (order: Order): void {
    this.#entries.set(key(order), { at: this.#clock.now(), result: undefined })
    if (order.kind === 'open') this.#opens.set(place(order), this.#clock.now() + lateTime)
  }

  /** Notes what became of an order. */
  answered (order: Order, result: OrderResult): void {
    const entry = this.#entries.get(key(order))
    if (entry !== undefined) entry.result = result
    if (result === 'unanswered') return
    // An engine carries orders out one after another, so its answer to close comes after every open that it has answered.
    if (order.kind === 'open' && result === 'taken') this.#opens.set(place(order), this.#clock.now() + listTime)
    else if (order.kind === 'open' || order.kind === 'close') this.#opens.delete(place(order))
  }

  /** Whether an engine has taken an order. */
  taken (order: Order): boolean {
    return this.#entries.get(key(order))?.result === 'taken'
  }

  /** Whether an engine refused to join since it has seen a higher epoch. */
  stale (node: string, replica: string): boolean {
    return this.#entries.get(`${node} join ${replica}`)?.result === 'stale'
  }

  /** Whether the replica may be open although it is not listed so: an order to open it may still be carried out, or was just now. */
  mayOpen (node: string, replica: string): boolean {
    return this.#clock.now() < (this.#opens.get(`${node} ${replica}`) ?? 0)
  }

  /** Forgets what can no longer matter. */
  sweep (): void {
    const before = this.#clock.now() - 2 * lateTime
    for (const [name, { at }] of this.#entries) if (at < before) this.#entries.delete(name)
    for (const [name, until] of this.#opens) if (until < before) this.#opens.delete(name)
  }
}

function place ({ node, replica }: Order): string {
  return `${node} ${replica}`
}

function key ({ node, kind, replica, model, manner }: Order): string {
  return kind === 'stage' ? `${node} stage ${model ?? ''}` : `${node} ${kind}${manner ?? ''} ${replica}`
}
