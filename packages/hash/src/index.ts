/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): processes that know the same names choose alike without exchanging
 * a message. Pure functions over xxHash32. Their results are part of the protocol: processes of two versions that serve
 * side by side have to agree, so the hash, its input and the order of equal weights must not change.
 */
import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/** The weight of `name` for `key`, an unsigned 32-bit number. */
export function weight (key: string, name: string): number {
  return h32(`${key}\u0000${name}`)
}

/** The names in the order in which rendezvous hashing prefers them for `key`. Equal weights go by name. */
export function ranked (key: string, names: readonly string[]): string[] {
  return new Ranking(key).order(names)
}

/** Ranks names for one key again and again, and keeps their weights: for a fleet of 300 that is most of the time that ranking takes. */
export class Ranking {
  readonly #key: string
  readonly #weights = new Map<string, number>()

  constructor (key: string) {
    this.#key = key
  }

  /** As `ranked`. */
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
