import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { AttemptsInFlight, type Targets } from '../src/index.js'

test('stopping the checks of attempts in flight cancels their timer, which would keep the process from ending', t => {
  const clock = new ManualClock()
  let checks = 0
  const targets = { isLive: () => { checks++; return true } } as unknown as Targets
  const inFlight = new AttemptsInFlight(clock, targets)
  inFlight.add({ worker: 'w' } as never, () => {})
  clock.advance(500)
  inFlight.stop()
  clock.advance(5000)
  t.is(checks, 1)
})
