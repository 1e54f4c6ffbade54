import { type Share } from './shape.js'

/**
 * The service that a request goes to, in proportion to the weights.
 * @param draw evenly spread from 0 up to, not including, 1
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
