import { type Clock } from '@eiderwind/clock'
import { type Order } from './facts.js'

/**
 * What became of an order: `taken`, `refused` (it does not fit), `stale` (a higher epoch came before), `closed` (nothing
 * listens at the engine's address), or `unanswered`: nobody can tell.
 */
export type OrderResult = 'taken' | 'refused' | 'stale' | 'closed' | 'unanswered'

/** An order without an answer may still be carried out for this long, in ms. */
const lateTime = 13_000

interface Entry {
  at: number
  result: OrderResult | undefined
}

/** Which orders were given when, and what became of them, so that none is repeated too soon and late ones are expected. */
export class Ledger {
  readonly #clock: Clock
  readonly #repeatAfter: number
  readonly #entries = new Map<string, Entry>()
  readonly #uncertain = new Map<string, number>()

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
  }

  /** Notes what became of an order. */
  answered (order: Order, result: OrderResult): void {
    const entry = this.#entries.get(key(order))
    if (entry !== undefined) entry.result = result
    if (result === 'unanswered') this.#uncertain.set(key(order), this.#clock.now())
  }

  /** Whether an engine refused to join since it has seen a higher epoch. */
  stale (node: string, replica: string): boolean {
    return this.#entries.get(`${node} join ${replica}`)?.result === 'stale'
  }

  /** Whether an order to open the replica may still be carried out late. */
  mayOpen (node: string, replica: string): boolean {
    const at = this.#uncertain.get(`${node} open ${replica}`)
    return at !== undefined && this.#clock.now() - at < lateTime
  }

  /** Forgets what can no longer matter. */
  sweep (): void {
    const before = this.#clock.now() - 2 * lateTime
    for (const [name, { at }] of this.#entries) if (at < before) this.#entries.delete(name)
    for (const [name, at] of this.#uncertain) if (at < before) this.#uncertain.delete(name)
  }
}

function key ({ node, kind, replica, model, manner }: Order): string {
  return kind === 'stage' ? `${node} stage ${model ?? ''}` : `${node} ${kind}${manner ?? ''} ${replica}`
}
