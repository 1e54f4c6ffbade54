import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Flights, type Targets } from '../src/index.js'

test('a stopped look at flights leaves no timer behind, which would keep its process from ending', t => {
  const clock = new ManualClock()
  let looks = 0
  const targets = { alive: () => { looks++; return true } } as unknown as Targets
  const flights = new Flights(clock, targets)
  flights.add({ worker: 'w' } as never, () => {})
  clock.advance(500)
  flights.stop()
  clock.advance(5000)
  t.is(looks, 1)
})
