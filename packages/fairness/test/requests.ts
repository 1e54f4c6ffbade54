/** Random waiting requests for property tests. */
import fc from 'fast-check'

/** The teams of random requests. */
export const teams = ['a', 'b', 'c']

/** A random request that waits at `now`, on `Clock.now`, in ms. */
export function drawn (now: number) {
  return fc.record({
    priority: fc.integer({ min: 0, max: 3 }),
    team: fc.constantFrom(...teams),
    work: fc.constant(1),
    arrivedAt: fc.integer({ min: now - 100, max: now }),
    inTimeUntil: fc.integer({ min: now - 300, max: now + 300 }),
    until: fc.integer({ min: now, max: now + 200 }),
    again: fc.boolean(),
    early: fc.boolean()
  })
}
