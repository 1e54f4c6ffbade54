/** Prompt tokens that heads have not read yet, as far as one gateway has sent them. Owns their sums, by the identity of the upstream's life; nothing is kept of one that has none. */
export class Unread {
  readonly #tokens = new Map<string, number>()

  /** Prompt tokens at an upstream of which no first event has come yet. */
  of (upstream: string): number {
    return this.#tokens.get(upstream) ?? 0
  }

  /** Counts a prompt that is sent, until the returned function is called: its first event has come, or its attempt has ended. Calls after the first do nothing. */
  add (upstream: string, tokens: number): () => void {
    this.#set(upstream, this.of(upstream) + tokens)
    let counts = true
    return () => {
      if (counts) this.#set(upstream, this.of(upstream) - tokens)
      counts = false
    }
  }

  #set (upstream: string, tokens: number): void {
    if (tokens > 0) this.#tokens.set(upstream, tokens)
    else this.#tokens.delete(upstream)
  }
}
