/** A gateway that runs short of something, on a clock that the test moves: what the balancer and the other gateways hear. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Log } from '@eiderwind/log'
import { Readiness, type ReadinessLimits } from '../src/readiness.js'

class Setting {
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

  /** Runs for some seconds in which each piece of work holds the event loop up for so long, in ms. */
  run (seconds: number, work = 0): void {
    const end = this.clock.now() + seconds * 1000
    while (this.clock.now() < end) {
      if (work > 0) this.clock.freeze(work)
      this.clock.advance(50)
    }
  }
}

test('a gateway whose event loop is late has callers sent to others, says so, and takes them again once it has time', t => {
  const setting = new Setting({ lateness: 30 })
  setting.run(5)
  t.is(setting.readiness.cause, undefined)
  setting.run(4, 200)
  t.is(setting.readiness.cause, 'processor')
  t.deepEqual(setting.readiness.news, { away: true })
  setting.run(3)
  t.is(setting.readiness.cause, undefined)
  t.deepEqual(setting.readiness.news, {})
  t.deepEqual(setting.lines.map(({ name, away, cause }) => [name, away, cause]), [['gateway-strained', true, 'processor'], ['gateway-strained', false, 'processor']])
})

test('one pause of the whole process is no shortage of processor', t => {
  const setting = new Setting({ lateness: 30 })
  setting.run(2)
  setting.clock.freeze(4000)
  setting.run(5)
  t.deepEqual(setting.lines, [])
})

test('memory and descriptors count against their limits', t => {
  const full = new Setting({ memory: 1000 })
  full.memory = 900
  full.run(4)
  t.is(full.readiness.cause, 'memory')
  const crowded = new Setting({ descriptors: 1000 })
  crowded.connections = 800
  crowded.run(4)
  t.is(crowded.readiness.cause, 'descriptors')
})

test('where most others have sent theirs away, it stays', t => {
  const setting = new Setting({ memory: 1000 })
  setting.memory = 900
  setting.others = [{ away: true }, { away: true }, {}, {}, {}]
  setting.run(4)
  t.is(setting.readiness.cause, undefined)
})

test('without limits nothing is measured', t => {
  const setting = new Setting({})
  setting.memory = 1e12
  setting.run(10, 200)
  t.is(setting.readiness.cause, undefined)
  t.deepEqual(setting.lines, [])
})
