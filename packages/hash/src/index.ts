/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): processes with the same list of names make the same choice without
 * exchanging messages. The functions are pure and use xxHash32. Their results are part of the protocol, because
 * processes of two versions that run at the same time must agree. The hash, its input and the order of equal weights
 * must not change.
 */
import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/** The weight of `name` for `key`, as an unsigned 32-bit number. */
export function weight (key: string, name: string): number {
  return h32(`${key}\u0000${name}`)
}

/** Sorts names by their weight for `key`, highest first. Names with equal weights are ordered by name. */
export function ranked (key: string, names: readonly string[]): string[] {
  return new Ranking(key).order(names)
}

/**
 * Ranks names for one key repeatedly, and caches their weights. For a fleet of 300, computing the weights takes most of
 * the time of a ranking.
 */
export class Ranking {
  readonly #key: string
  readonly #weights = new Map<string, number>()

  constructor (key: string) {
    this.#key = key
  }

  /** Sorts names as `ranked` does. */
  order (names: readonly string[]): string[] {
    const weighted = names.map(name => ({ name, weight: this.#weight(name) }))
    weighted.sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    return weighted.map(each => each.name)
  }

  #weight (name: string): number {
    const known = this.#weights.get(name)
    if (known !== undefined) return known
    const found = weight(this.#key, name)
    this.#weights.set(name, found)
    return found
  }
}

/** A 32-bit digest of `text`, for prefix and session affinity. Not for secrets. */
export function digest (text: string): number {
  return h32(text)
}
