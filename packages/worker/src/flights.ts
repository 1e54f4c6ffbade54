/** What is in flight in this worker, so that it can be cut when it may not go on. */
export class Flights {
  readonly #cuts = new Set<() => void>()

  /** Notes a request in flight. The returned function takes it out again. */
  add (cut: () => void): () => void {
    this.#cuts.add(cut)
    return () => { this.#cuts.delete(cut) }
  }

  /** Cuts everything that is in flight. */
  cut (): void {
    for (const cut of [...this.#cuts]) cut()
  }
}
