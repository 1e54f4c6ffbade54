/** A sum that halves with time, so that what is long past counts little. Times are on `Clock.now`, in ms. */
export class DecayingSum {
  readonly #halfLife: number
  #value: number
  #at: number

  constructor (halfLife: number, value = 0, at = 0) {
    this.#halfLife = halfLife
    this.#value = value
    this.#at = at
  }

  add (amount: number, now: number): void {
    this.#value = this.at(now) + amount
    this.#at = Math.max(now, this.#at)
  }

  at (now: number): number {
    return now <= this.#at ? this.#value : this.#value * 2 ** ((this.#at - now) / this.#halfLife)
  }

  copy (): DecayingSum {
    return new DecayingSum(this.#halfLife, this.#value, this.#at)
  }
}

/** Decaying sums by name. */
export class DecayingSums<Name> {
  readonly #halfLife: number
  readonly #sums: Map<Name, DecayingSum>
  readonly #total: DecayingSum

  constructor (halfLife: number, sums = new Map<Name, DecayingSum>(), total = new DecayingSum(halfLife)) {
    this.#halfLife = halfLife
    this.#sums = sums
    this.#total = total
  }

  /** How many names were ever counted. */
  get size (): number {
    return this.#sums.size
  }

  add (name: Name, amount: number, now: number): void {
    const sum = this.#sums.get(name) ?? new DecayingSum(this.#halfLife)
    sum.add(amount, now)
    this.#sums.set(name, sum)
    this.#total.add(amount, now)
  }

  of (name: Name, now: number): number {
    return this.#sums.get(name)?.at(now) ?? 0
  }

  total (now: number): number {
    return this.#total.at(now)
  }

  copy (): DecayingSums<Name> {
    return new DecayingSums(this.#halfLife, new Map([...this.#sums].map(([name, sum]) => [name, sum.copy()])), this.#total.copy())
  }
}
