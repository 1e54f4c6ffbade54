/** How a gateway learns of evacuations from the store and from other gateways, and how it empties a data centre. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { InFlight } from '@eiderwind/detect'
import { type Log } from '@eiderwind/log'
import { type Heartbeat } from '@eiderwind/peers'
import { Roster, type Upstream } from '@eiderwind/roster'
import { EvacuationController } from '../src/evacuationcontroller.js'
import { gatewayBoard } from '../src/facts.js'

/** Time in which a data centre is emptied, in ms. */
const span = 4000

function upstream (id: string, dataCentre: string): Upstream {
  return { id, service: 's', address: `${id}:1`, dataCentre, leaving: false, loaded: [], staged: [] }
}

class Fixture {
  readonly clock = new ManualClock()
  readonly roster = new Roster(this.clock)
  readonly inFlight = new InFlight(this.clock, () => {})
  readonly lines: string[] = []
  readonly evacuationController: EvacuationController

  /** @param watchesEvacuations whether the gateway handles evacuations */
  constructor (watchesEvacuations = true) {
    const log = { write: (name: string, { dataCentre, from }: Record<string, unknown>) => this.lines.push([name, dataCentre, from].filter(each => each !== undefined).join(' ')) }
    this.evacuationController = new EvacuationController({ clock: this.clock, log: log as unknown as Log, board: gatewayBoard(), roster: this.roster, inFlight: this.inFlight, evacuationTime: watchesEvacuations ? span : undefined })
    this.roster.replace([upstream('a1', 'a'), upstream('b1', 'b')])
    this.evacuationController.start()
  }

  get availableIds (): string {
    return this.roster.available('s').map(each => each.id).join(' ')
  }

  /** Simulates a heartbeat of another gateway. */
  receiveHeartbeat (revision: number, ...dataCentres: string[]): void {
    this.evacuationController.receiveHeartbeat(heartbeat({ evacuation: { revision, dataCentres } }))
  }
}

function heartbeat (fields: Partial<Heartbeat>): Heartbeat {
  return { id: 'g2', revision: 0, canPlan: false, inFlight: {}, suspects: [], offeredByModel: {}, served: false, loads: {}, ...fields }
}

test('the latest revision is applied whether it comes from the store or a gateway, and an older one is ignored', t => {
  const fixture = new Fixture()
  const { evacuationController } = fixture
  evacuationController.take({ revision: 10, dataCentres: [] })
  t.is(fixture.availableIds, 'a1 b1')
  fixture.receiveHeartbeat(12, 'a')
  t.is(fixture.availableIds, 'b1')
  for (const revision of [11, 12]) evacuationController.take({ revision, dataCentres: [] })
  t.is(fixture.availableIds, 'b1')
  evacuationController.take({ revision: 13, dataCentres: ['a', 'b'] })
  t.is(fixture.availableIds, '')
  fixture.receiveHeartbeat(12, 'a')
  t.is(fixture.availableIds, '')
  evacuationController.take({ revision: 20, dataCentres: ['b'] })
  t.is(fixture.availableIds, 'a1')
  evacuationController.take({ revision: 21, dataCentres: [] })
  t.is(fixture.availableIds, 'a1 b1')
  t.deepEqual(fixture.lines, ['evacuation-begun a g2', 'evacuation-begun b', 'evacuation-ended a', 'evacuation-ended b'])
})

test('a gateway reports its revision to the others while a data centre is evacuated and for a minute after', t => {
  const { clock, evacuationController } = new Fixture()
  evacuationController.take({ revision: 1, dataCentres: [] })
  t.deepEqual(evacuationController.heartbeatFields, {}, 'no evacuation so far')
  evacuationController.take({ revision: 2, dataCentres: ['a'] })
  clock.advance(600_000)
  t.deepEqual(evacuationController.heartbeatFields, { evacuation: { revision: 2, dataCentres: ['a'] } })
  evacuationController.take({ revision: 3, dataCentres: [] })
  evacuationController.take({ revision: 9, dataCentres: [] })
  clock.advance(59_000)
  t.deepEqual(evacuationController.heartbeatFields, { evacuation: { revision: 9, dataCentres: [] } })
  clock.advance(2000)
  t.deepEqual(evacuationController.heartbeatFields, {})
})

test('a gateway that has not read the store learns of an evacuation from the heartbeat of any other', t => {
  const source = new Fixture()
  source.evacuationController.take({ revision: 2, dataCentres: ['a'] })
  const started = new Fixture()
  started.evacuationController.receiveHeartbeat(heartbeat(source.evacuationController.heartbeatFields))
  t.is(started.availableIds, 'b1')
  t.deepEqual(started.evacuationController.heartbeatFields, source.evacuationController.heartbeatFields, 'and forwards it')
})

test('a gateway that does not handle evacuations ignores those in heartbeats', t => {
  const fixture = new Fixture(false)
  fixture.receiveHeartbeat(12, 'a')
  t.is(fixture.availableIds, 'a1 b1')
  t.deepEqual(fixture.evacuationController.heartbeatFields, {})
})

test('unsent requests to the evacuated data centre are withdrawn at once, those to others are not', t => {
  const { evacuationController, inFlight } = new Fixture()
  const withdrawn: string[] = []
  for (const id of ['a1', 'b1']) inFlight.begin(id, 'm', { withdrawn: why => { withdrawn.push(`${id}: ${why}`) } })
  evacuationController.take({ revision: 1, dataCentres: ['a'] })
  t.deepEqual(withdrawn, ['a1: its data centre is evacuated'])
})

test('running streams move in the second half of the time, oldest first; streams that cannot move stay and delay no other', t => {
  const { clock, evacuationController, inFlight } = new Fixture()
  const moved: Array<{ name: string, at: number }> = []
  const begin = (name: string, id: string, canMove = true): void => {
    const request = inFlight.begin(id, 'm', {
      moved: () => {
        if (!canMove) return false
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
  evacuationController.take({ revision: 1, dataCentres: ['a'] })
  const begunAt = clock.now()
  t.is(evacuationController.running, 42)
  clock.advance(span)
  t.deepEqual(moved.map(each => each.name), Array.from({ length: 40 }, (_each, index) => `s${index}`))
  t.true(moved[0].at - begunAt >= span / 2)
  const largest = Math.max(...moved.map(({ at }) => moved.filter(each => each.at === at).length))
  t.true(largest <= 4, `${largest} at once`)
  t.is(evacuationController.moved, 40)
  t.is(evacuationController.running, 2)
  evacuationController.stop()
})

test('an evacuation that is revoked before its streams have moved moves none', t => {
  const { clock, evacuationController, inFlight } = new Fixture()
  inFlight.begin('a1', 'm', { moved: () => t.fail() as unknown as boolean })
  evacuationController.take({ revision: 1, dataCentres: ['a'] })
  clock.advance(1000)
  evacuationController.take({ revision: 2, dataCentres: [] })
  clock.advance(span)
  t.is(evacuationController.running, 0)
  evacuationController.stop()
})
