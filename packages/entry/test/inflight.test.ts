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
  inFlight.add(target, () => made.cancelled.push('landed'))()
  return made
}

test('an attempt at a worker that went silent is given up, one that has landed is left alone', t => {
  const made = setUp()
  made.clock.advance(2000)
  t.deepEqual(made.cancelled, [])
  made.silent = true
  made.clock.advance(500)
  t.deepEqual(made.cancelled, ['The worker went silent.'])
})

test('a process that is late itself gives nothing up, since reports wait in its own sockets', t => {
  const made = setUp()
  made.clock.advance(500)
  made.silent = true
  const stalled = made.clock.now.bind(made.clock)
  made.clock.now = () => stalled() + 5000
  made.clock.advance(500)
  t.deepEqual(made.cancelled, [])
  made.clock.advance(500)
  t.deepEqual(made.cancelled, ['The worker went silent.'])
})
