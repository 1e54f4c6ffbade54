/** What a gateway knows of evacuations, from the store and from others, and how it empties a data centre. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { InFlight } from '@eiderwind/detect'
import { type Log } from '@eiderwind/log'
import { type Heartbeat } from '@eiderwind/peers'
import { Roster, type Upstream } from '@eiderwind/roster'
import { Evacuating } from '../src/evacuating.js'
import { gatewayBoard } from '../src/facts.js'

const span = 4000

function upstream (id: string, dataCentre: string): Upstream {
  return { id, service: 's', address: `${id}:1`, dataCentre, leaving: false, loaded: [], staged: [] }
}

class Fixture {
  readonly clock = new ManualClock()
  readonly roster = new Roster(this.clock)
  readonly inFlight = new InFlight(this.clock, () => {})
  readonly lines: string[] = []
  readonly evacuating: Evacuating

  /** @param looksFor whether evacuations are looked for */
  constructor (looksFor = true) {
    const log = { write: (name: string, { dataCentre, from }: Record<string, unknown>) => this.lines.push([name, dataCentre, from].filter(each => each !== undefined).join(' ')) }
    this.evacuating = new Evacuating({ clock: this.clock, log: log as unknown as Log, board: gatewayBoard(), roster: this.roster, inFlight: this.inFlight, span: looksFor ? span : undefined })
    this.roster.replace([upstream('a1', 'a'), upstream('b1', 'b')])
    this.evacuating.start()
  }

  get open (): string {
    return this.roster.available('s').map(each => each.id).join(' ')
  }

  /** Hears what another gateway says. */
  hear (revision: number, ...dataCentres: string[]): void {
    this.evacuating.hear(heartbeat({ evacuation: { revision, dataCentres } }))
  }
}

function heartbeat (fields: Partial<Heartbeat>): Heartbeat {
  return { id: 'g2', revision: 0, canPlan: false, inFlight: {}, suspects: [], offeredByModel: {}, served: false, loads: {}, ...fields }
}

test('the later revision holds, whoever says it, and nothing older replaces it', t => {
  const fixture = new Fixture()
  const { evacuating } = fixture
  evacuating.take({ revision: 10, dataCentres: [] })
  t.is(fixture.open, 'a1 b1')
  fixture.hear(12, 'a')
  t.is(fixture.open, 'b1')
  for (const revision of [11, 12]) evacuating.take({ revision, dataCentres: [] })
  t.is(fixture.open, 'b1')
  evacuating.take({ revision: 13, dataCentres: ['a', 'b'] })
  t.is(fixture.open, '')
  fixture.hear(12, 'a')
  t.is(fixture.open, '')
  evacuating.take({ revision: 20, dataCentres: ['b'] })
  t.is(fixture.open, 'a1')
  evacuating.take({ revision: 21, dataCentres: [] })
  t.is(fixture.open, 'a1 b1')
  t.deepEqual(fixture.lines, ['evacuation-begun a g2', 'evacuation-begun b', 'evacuation-ended a', 'evacuation-ended b'])
})

test('a gateway tells the others as long as something is evacuated, and for a minute after, with the revision that it knows', t => {
  const { clock, evacuating } = new Fixture()
  evacuating.take({ revision: 1, dataCentres: [] })
  t.deepEqual(evacuating.news, {}, 'nothing was ever evacuated')
  evacuating.take({ revision: 2, dataCentres: ['a'] })
  clock.advance(600_000)
  t.deepEqual(evacuating.news, { evacuation: { revision: 2, dataCentres: ['a'] } })
  evacuating.take({ revision: 3, dataCentres: [] })
  evacuating.take({ revision: 9, dataCentres: [] })
  clock.advance(59_000)
  t.deepEqual(evacuating.news, { evacuation: { revision: 9, dataCentres: [] } })
  clock.advance(2000)
  t.deepEqual(evacuating.news, {})
})

test('a gateway that has just started and one that has lost the store learn it from the heartbeat of any other', t => {
  const teller = new Fixture()
  teller.evacuating.take({ revision: 2, dataCentres: ['a'] })
  const started = new Fixture()
  started.evacuating.hear(heartbeat(teller.evacuating.news))
  t.is(started.open, 'b1')
  t.deepEqual(started.evacuating.news, teller.evacuating.news, 'and passes it on')
})

test('where no evacuations are looked for, those that others tell of change nothing', t => {
  const fixture = new Fixture(false)
  fixture.hear(12, 'a')
  t.is(fixture.open, 'a1 b1')
  t.deepEqual(fixture.evacuating.news, {})
})

test('requests that have not left yet are withdrawn at once, those at other data centres are not', t => {
  const { evacuating, inFlight } = new Fixture()
  const withdrawn: string[] = []
  for (const id of ['a1', 'b1']) inFlight.begin(id, 'm', { withdrawn: why => { withdrawn.push(`${id}: ${why}`) } })
  evacuating.take({ revision: 1, dataCentres: ['a'] })
  t.deepEqual(withdrawn, ['a1: its data centre is evacuated'])
})

test('streams that run on move in the second half of the time, the oldest first; those that may not stay and hold up none', t => {
  const { clock, evacuating, inFlight } = new Fixture()
  const moved: Array<{ name: string, at: number }> = []
  const begin = (name: string, id: string, mayMove = true): void => {
    const request = inFlight.begin(id, 'm', {
      moved: () => {
        if (!mayMove) return false
        moved.push({ name, at: clock.now() })
        inFlight.end(request)
        return true
      }
    })
    clock.advance(1)
  }
  begin('strict', 'a1', false)
  inFlight.begin('a1', '')
  for (let index = 0; index < 40; index++) begin(`s${index}`, 'a1')
  begin('elsewhere', 'b1')
  evacuating.take({ revision: 1, dataCentres: ['a'] })
  const begunAt = clock.now()
  t.is(evacuating.running, 42)
  clock.advance(span)
  t.deepEqual(moved.map(each => each.name), Array.from({ length: 40 }, (_each, index) => `s${index}`))
  t.true(moved[0].at - begunAt >= span / 2)
  const largest = Math.max(...moved.map(({ at }) => moved.filter(each => each.at === at).length))
  t.true(largest <= 4, `${largest} at once`)
  t.is(evacuating.moved, 40)
  t.is(evacuating.running, 2)
  evacuating.stop()
})

test('an evacuation that is taken back before its streams moved moves none', t => {
  const { clock, evacuating, inFlight } = new Fixture()
  inFlight.begin('a1', 'm', { moved: () => t.fail() as unknown as boolean })
  evacuating.take({ revision: 1, dataCentres: ['a'] })
  clock.advance(1000)
  evacuating.take({ revision: 2, dataCentres: [] })
  clock.advance(span)
  t.is(evacuating.running, 0)
  evacuating.stop()
})
