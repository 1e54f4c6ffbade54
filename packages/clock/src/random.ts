/**
 * The seeded random source for all random choices, so that a run can be repeated. It owns the state of its generator.
 */
import { mersenne } from 'pure-rand/generator/mersenne'

/** A source of numbers in [0, 1). */
export type Random = () => number

/**
 * Creates a random source that returns the same numbers for the same seed on every run. For neighbouring seeds, the
 * numbers differ from the first one on.
 */
export function seeded (seed: number): Random {
  const generator = mersenne(seed)
  return () => (generator.next() >>> 0) / 2 ** 32
}
