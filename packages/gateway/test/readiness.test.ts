/** A gateway that runs short of a resource: which state it reports to the balancer and to the other gateways. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Log } from '@eiderwind/log'
import { Readiness, type ReadinessLimits } from '../src/readiness.js'

class Fixture {
  readonly clock = new ManualClock()
  readonly lines: Array<Record<string, unknown>> = []
  readonly readiness: Readiness
  memory = 100
  connections = 0
  others: Array<{ away?: boolean }> = Array.from({ length: 5 }, () => ({}))

  constructor (limits: ReadinessLimits) {
    this.readiness = new Readiness({
      clock: this.clock,
      log: new Log({ sink: line => { this.lines.push(JSON.parse(line) as Record<string, unknown>) } }),
      limits,
      memory: () => this.memory,
      connections: () => this.connections,
      others: () => this.others
    })
    this.readiness.start()
  }

  /**
   * Advances the clock.
   * @param seconds time to advance, not counting the work
   * @param work time for which the event loop is blocked before each step of 50 ms, in ms
   */
  run (seconds: number, work = 0): void {
    const end = this.clock.now() + seconds * 1000
    while (this.clock.now() < end) {
      if (work > 0) this.clock.freeze(work)
      this.clock.advance(50)
    }
  }
}

test('a gateway whose event loop is late sends callers away and logs it, and accepts them again after it has recovered', t => {
  const fixture = new Fixture({ lateness: 30 })
  fixture.run(5)
  t.is(fixture.readiness.cause, undefined)
  fixture.run(4, 200)
  t.is(fixture.readiness.cause, 'processor')
  t.deepEqual(fixture.readiness.heartbeatFields, { away: true })
  fixture.run(3)
  t.is(fixture.readiness.cause, undefined)
  t.deepEqual(fixture.readiness.heartbeatFields, {})
  t.deepEqual(fixture.lines.map(({ name, away, cause }) => [name, away, cause]), [['gateway-strained', true, 'processor'], ['gateway-strained', false, 'processor']])
})

test('a single pause of the process does not count as a shortage of processor time', t => {
  const fixture = new Fixture({ lateness: 30 })
  fixture.run(2)
  fixture.clock.freeze(4000)
  fixture.run(5)
  t.deepEqual(fixture.lines, [])
})

test('memory and descriptors near their limits count as shortages', t => {
  const full = new Fixture({ memory: 1000 })
  full.memory = 900
  full.run(4)
  t.is(full.readiness.cause, 'memory')
  const crowded = new Fixture({ descriptors: 1000 })
  crowded.connections = 800
  crowded.run(4)
  t.is(crowded.readiness.cause, 'descriptors')
})

test('a gateway does not send callers away if too many others have', t => {
  const fixture = new Fixture({ memory: 1000 })
  fixture.memory = 900
  fixture.others = [{ away: true }, { away: true }, {}, {}, {}]
  fixture.run(4)
  t.is(fixture.readiness.cause, undefined)
})

test('without limits no shortage is reported', t => {
  const fixture = new Fixture({})
  fixture.memory = 1e12
  fixture.run(10, 200)
  t.is(fixture.readiness.cause, undefined)
  t.deepEqual(fixture.lines, [])
})
