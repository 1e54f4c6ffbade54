/** The requests in flight at this worker's upstream. They are cancelled when they may not continue. */
export class Flights {
  readonly #cancels = new Set<() => void>()

  /** Adds a request in flight, with the function that cancels it. The returned function removes it. */
  add (cancel: () => void): () => void {
    this.#cancels.add(cancel)
    return () => { this.#cancels.delete(cancel) }
  }

  /** Cancels every request in flight. */
  cancelAll (): void {
    for (const cancel of [...this.#cancels]) cancel()
  }
}
