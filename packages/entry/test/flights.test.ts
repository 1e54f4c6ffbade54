import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Flights, type Target, type Targets } from '../src/index.js'

interface Made {
  readonly clock: ManualClock
  readonly cancelled: string[]
  silent: boolean
}

function make (): Made {
  const clock = new ManualClock()
  const made: Made = { clock, cancelled: [], silent: false }
  const targets = { alive: () => !made.silent } as unknown as Targets
  const flights = new Flights(clock, targets)
  const target = { worker: 'w' } as Target
  flights.add(target, reason => made.cancelled.push(reason.message))
  flights.add(target, () => made.cancelled.push('landed'))()
  return made
}

test('an attempt at a worker that went silent is given up, one that has landed is left alone', t => {
  const made = make()
  made.clock.advance(2000)
  t.deepEqual(made.cancelled, [])
  made.silent = true
  made.clock.advance(500)
  t.deepEqual(made.cancelled, ['The worker went silent.'])
})

test('a process that is late itself gives nothing up, since reports wait in its own sockets', t => {
  const made = make()
  made.clock.advance(500)
  made.silent = true
  const stalled = made.clock.now.bind(made.clock)
  made.clock.now = () => stalled() + 5000
  made.clock.advance(500)
  t.deepEqual(made.cancelled, [])
  made.clock.advance(500)
  t.deepEqual(made.cancelled, ['The worker went silent.'])
})
