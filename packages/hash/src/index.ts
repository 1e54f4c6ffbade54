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
  const weighted = names.map(name => ({ name, weight: weight(key, name) }))
  weighted.sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
  return weighted.map(each => each.name)
}

/** A 32-bit digest of `text`, for prefix and session affinity. Not for secrets. */
export function digest (text: string): number {
  return h32(text)
}
