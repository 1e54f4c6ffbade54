/** What counts as a suspension of the machine, case by case. */
import test from 'ava'
import { Suspension } from '../src/suspension.js'

/** What passes between two looks, in ms on the steady clock and on the time of day, and what of it is a suspension. */
const cases: ReadonlyArray<{ readonly what: string, readonly steady: number, readonly wall: number, readonly suspended: number }> = [
  { what: 'an ordinary time', steady: 50, wall: 50, suspended: 0 },
  { what: 'a freeze by a signal: the steady clock runs on', steady: 6000, wall: 6000, suspended: 0 },
  { what: 'a suspension', steady: 20, wall: 6020, suspended: 6000 },
  { what: 'a step ahead looks like one', steady: 50, wall: 2050, suspended: 2000 },
  { what: 'a step back is none', steady: 50, wall: -1950, suspended: 0 },
  { what: 'a step back during a suspension hides a part of it', steady: 50, wall: 4050, suspended: 4000 },
  { what: 'a step ahead during a suspension adds to it', steady: 50, wall: 8050, suspended: 8000 },
  { what: 'the time of day is adjusted: a little faster', steady: 10_000, wall: 10_005, suspended: 0 }
]

for (const { what, steady, wall, suspended } of cases) {
  test(what, t => {
    const suspension = new Suspension(1000, 70_000)
    t.is(suspension.total(1000, 70_000), 0)
    t.is(suspension.total(1000 + steady, 70_000 + wall), suspended)
    t.is(suspension.total(1050 + steady, 70_050 + wall), suspended, 'it counts once')
  })
}

test('a suspension after a step back counts in full', t => {
  const suspension = new Suspension(0, 0)
  t.is(suspension.total(50, -1950), 0)
  t.is(suspension.total(100, 3100), 5000)
})
