import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { AttemptsInFlight, type Target, type Targets } from '../src/index.js'

interface Fixture {
  readonly clock: ManualClock
  readonly cancelled: string[]
  silent: boolean
}

function setUp (): Fixture {
  const clock = new ManualClock()
  const made: Fixture = { clock, cancelled: [], silent: false }
  const targets = { isLive: () => !made.silent } as unknown as Targets
  const inFlight = new AttemptsInFlight(clock, targets)
  const target = { worker: 'w' } as Target
  inFlight.add(target, reason => made.cancelled.push(reason.message))
  inFlight.add(target, () => made.cancelled.push('removed'))()
  return made
}

test('attempts at a worker that stopped reporting are cancelled, and a removed attempt is not', t => {
  const made = setUp()
  made.clock.advance(2000)
  t.deepEqual(made.cancelled, [])
  made.silent = true
  made.clock.advance(500)
  t.deepEqual(made.cancelled, ['The worker stopped reporting.'])
})

test('a check that runs late cancels nothing, since reports may wait in the sockets of this process', t => {
  const made = setUp()
  made.clock.advance(500)
  made.silent = true
  const stalled = made.clock.now.bind(made.clock)
  made.clock.now = () => stalled() + 5000
  made.clock.advance(500)
  t.deepEqual(made.cancelled, [])
  made.clock.advance(500)
  t.deepEqual(made.cancelled, ['The worker stopped reporting.'])
})
