/** Is told the new value of a fact. */
export type FactListener<Value> = (value: Value) => void

/**
 * The blackboard of a process: a fixed set of named facts, each an immutable value. Controllers read what others
 * wrote and never call each other. A fact is replaced whole; listeners hear of it at once.
 */
export class Board<Facts extends object> {
  #facts: Facts
  readonly #listeners = new Map<keyof Facts, Set<() => void>>()

  /** @param initial the facts as they stand before any controller has run */
  constructor (initial: Facts) {
    this.#facts = initial
  }

  /** The present value of a fact. */
  read<Name extends keyof Facts> (name: Name): Facts[Name] {
    return this.#facts[name]
  }

  /** Replaces a fact. Writing the same value again tells nobody. */
  write<Name extends keyof Facts> (name: Name, value: Facts[Name]): void {
    if (Object.is(this.#facts[name], value)) return
    this.#facts = { ...this.#facts, [name]: value }
    for (const tell of this.#listeners.get(name) ?? []) tell()
  }

  /** Tells `listener` of each new value until the returned function is called. */
  listen<Name extends keyof Facts> (name: Name, listener: FactListener<Facts[Name]>): () => void {
    const listeners = this.#listeners.get(name) ?? new Set()
    const tell = (): void => listener(this.read(name))
    this.#listeners.set(name, listeners.add(tell))
    return () => { listeners.delete(tell) }
  }
}
