/** The seeded random source of everything that chooses at random, so that a run can be repeated. It owns its generator's state. */
import { mersenne } from 'pure-rand/generator/mersenne'

/** A source of numbers in [0, 1). */
export type Random = () => number

/**
 * A random source that gives the same numbers for the same seed on every run. Neighbouring seeds give unlike numbers from
 * the first on.
 */
export function seeded (seed: number): Random {
  const generator = mersenne(seed)
  return () => (generator.next() >>> 0) / 2 ** 32
}
