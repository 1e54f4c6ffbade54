/**
 * Sums that decay exponentially, so that old values count little. Times are on `Clock.now`, in ms.
 */

/** A sum that halves in each half-life. */
export class DecayingSum {
  readonly #halfLife: number
  #value: number
  #updatedAt: number

  constructor (halfLife: number, value = 0, updatedAt = 0) {
    this.#halfLife = halfLife
    this.#value = value
    this.#updatedAt = updatedAt
  }

  add (amount: number, now: number): void {
    this.#value = this.valueAt(now) + amount
    this.#updatedAt = Math.max(now, this.#updatedAt)
  }

  valueAt (now: number): number {
    return now <= this.#updatedAt ? this.#value : this.#value * 2 ** ((this.#updatedAt - now) / this.#halfLife)
  }

  copy (): DecayingSum {
    return new DecayingSum(this.#halfLife, this.#value, this.#updatedAt)
  }
}

/** Decaying sums by name, and their total. */
export class DecayingSums<Name> {
  readonly #halfLife: number
  readonly #sums: Map<Name, DecayingSum>
  readonly #total: DecayingSum

  constructor (halfLife: number, sums = new Map<Name, DecayingSum>(), total = new DecayingSum(halfLife)) {
    this.#halfLife = halfLife
    this.#sums = sums
    this.#total = total
  }

  /** The number of stored names. */
  get size (): number {
    return this.#sums.size
  }

  get names (): readonly Name[] {
    return [...this.#sums.keys()]
  }

  add (name: Name, amount: number, now: number): void {
    const sum = this.#sums.get(name) ?? new DecayingSum(this.#halfLife)
    sum.add(amount, now)
    this.#sums.set(name, sum)
    this.#total.add(amount, now)
  }

  valueAt (name: Name, now: number): number {
    return this.#sums.get(name)?.valueAt(now) ?? 0
  }

  totalAt (now: number): number {
    return this.#total.valueAt(now)
  }

  /** Removes names whose sum is below `min`. The total does not change. */
  prune (now: number, min: number): void {
    for (const [name, sum] of this.#sums) {
      if (sum.valueAt(now) < min) this.#sums.delete(name)
    }
  }

  copy (): DecayingSums<Name> {
    return new DecayingSums(this.#halfLife, new Map([...this.#sums].map(([name, sum]) => [name, sum.copy()])), this.#total.copy())
  }
}

/** The length of the window that a decaying sum covers `time` ms after its start. The sum divided by it is a rate. */
export function effectiveWindow (halfLife: number, time: number): number {
  return halfLife / Math.LN2 * (1 - 2 ** (-time / halfLife))
}
