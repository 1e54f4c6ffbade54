/**
 * Prompt tokens that this gateway has sent and that heads have not read yet. Owns the sums by upstream id, which
 * differs between two incarnations of an upstream. An upstream with no unread tokens has no entry.
 */
export class Unread {
  readonly #tokens = new Map<string, number>()

  /** Prompt tokens at an upstream whose first event has not come yet. */
  of (upstream: string): number {
    return this.#tokens.get(upstream) ?? 0
  }

  /**
   * Counts a prompt that is sent. Call the returned function when its first event has come or its attempt has ended;
   * further calls do nothing.
   */
  add (upstream: string, tokens: number): () => void {
    this.#set(upstream, this.of(upstream) + tokens)
    let isCounted = true
    return () => {
      if (isCounted) this.#set(upstream, this.of(upstream) - tokens)
      isCounted = false
    }
  }

  #set (upstream: string, tokens: number): void {
    if (tokens > 0) this.#tokens.set(upstream, tokens)
    else this.#tokens.delete(upstream)
  }
}
