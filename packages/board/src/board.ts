/** Shared state of one process: named facts, and the listeners that are notified when a fact changes. */

/** Called with the new value of a fact. */
export type FactListener<Value> = (value: Value) => void

/**
 * The blackboard of a process: a fixed set of named facts, each an immutable value. Modules exchange state through it
 * without referring to each other. A write replaces the whole value of a fact and calls its listeners synchronously.
 */
export class Board<Facts extends object> {
  #facts: Facts
  readonly #listeners = new Map<keyof Facts, Set<() => void>>()

  /** @param initial the initial values of all facts */
  constructor (initial: Facts) {
    this.#facts = initial
  }

  /** The current value of a fact. */
  read<Name extends keyof Facts> (name: Name): Facts[Name] {
    return this.#facts[name]
  }

  /** Replaces the value of a fact. Listeners are not called if the value is the same (`Object.is`). */
  write<Name extends keyof Facts> (name: Name, value: Facts[Name]): void {
    if (Object.is(this.#facts[name], value)) return
    this.#facts = { ...this.#facts, [name]: value }
    for (const notify of this.#listeners.get(name) ?? []) notify()
  }

  /** Calls `listener` with each new value until the returned function is called. */
  listen<Name extends keyof Facts> (name: Name, listener: FactListener<Facts[Name]>): () => void {
    const listeners = this.#listeners.get(name) ?? new Set()
    const notify = (): void => listener(this.read(name))
    this.#listeners.set(name, listeners.add(notify))
    return () => { listeners.delete(notify) }
  }
}
