import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A source of numbers in [0, 1). */
export type Random = () => number

/** A random source that gives the same numbers for the same seed on every run. */
export function seeded (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => (generator.next() >>> 0) / 2 ** 32
}
