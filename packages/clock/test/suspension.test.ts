/** Which differences between the wall clock and the monotonic clock count as a suspension of the machine. */
import test from 'ava'
import { Suspension } from '../src/suspension.js'

/**
 * The time between two readings, in ms on the monotonic clock and on the wall clock, and the part that is a suspension.
 */
const cases: ReadonlyArray<{ readonly what: string, readonly monotonic: number, readonly wall: number, readonly suspended: number }> = [
  { what: 'equal times on both clocks are no suspension', monotonic: 50, wall: 50, suspended: 0 },
  { what: 'a process frozen by a signal is no suspension, since the monotonic clock continues', monotonic: 6000, wall: 6000, suspended: 0 },
  { what: 'a suspension counts as the difference of the clocks', monotonic: 20, wall: 6020, suspended: 6000 },
  { what: 'a step ahead counts as a suspension', monotonic: 50, wall: 2050, suspended: 2000 },
  { what: 'a step back is no suspension', monotonic: 50, wall: -1950, suspended: 0 },
  { what: 'a step back during a suspension hides a part of it', monotonic: 50, wall: 4050, suspended: 4000 },
  { what: 'a step ahead during a suspension adds to it', monotonic: 50, wall: 8050, suspended: 8000 },
  { what: 'a wall clock that is adjusted gradually is no suspension', monotonic: 10_000, wall: 10_005, suspended: 0 }
]

for (const { what, monotonic, wall, suspended } of cases) {
  test(what, t => {
    const suspension = new Suspension(1000, 70_000)
    t.is(suspension.total(1000, 70_000), 0)
    t.is(suspension.total(1000 + monotonic, 70_000 + wall), suspended)
    t.is(suspension.total(1050 + monotonic, 70_050 + wall), suspended, 'a suspension counts once')
  })
}

test('a suspension after a step back counts in full', t => {
  const suspension = new Suspension(0, 0)
  t.is(suspension.total(50, -1950), 0)
  t.is(suspension.total(100, 3100), 5000)
})
