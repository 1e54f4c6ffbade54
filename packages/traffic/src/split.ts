/** Splits the requests of a route between its services. A pure function of a random draw. */
import { type Share } from './shape.js'

/**
 * Picks the service for a request. Over many draws, each service is picked in proportion to its weight.
 * @param draw a uniform random number in [0, 1)
 */
export function pickShare (shares: readonly Share[], draw: number): string {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0)
  let left = draw * total
  for (const { service, weight } of shares) {
    left -= weight
    if (left < 0) return service
  }
  return shares[shares.length - 1].service
}
