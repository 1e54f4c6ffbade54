/**
 * An entry that is cut off. The tests guard against serving under an outdated configuration, and against sending
 * requests to workers whose reports are too old.
 */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { CurrentConfiguration } from '@eiderwind/config'
import { Log } from '@eiderwind/log'
import { emptyConfiguration, type EntryAddress } from '@eiderwind/schema'
import { Reports } from '@eiderwind/spread'
import { entryBoard, type EntryBoard } from '../src/facts.js'
import { Fence } from '../src/fence.js'
import { Targets } from '../src/targets.js'
import { plain, reportOf } from './harness.js'

interface Fixture {
  readonly clock: ManualClock
  readonly board: EntryBoard
  readonly current: CurrentConfiguration
  readonly reports: Reports
  readonly fence: Fence
  readonly targets: Targets
}

const self: EntryAddress = { id: 'e1', dataCentre: 'd1', region: 'r1', peer: '127.0.0.1:1' }
const maxNearReportAge = 2500

function setUp (): Fixture {
  const clock = new ManualClock()
  const board = entryBoard(self)
  const current = new CurrentConfiguration()
  current.accept({ ...emptyConfiguration, revision: 4 })
  const reports = new Reports(clock)
  const fence = new Fence({ board, clock, current, reports, log: new Log({ sink: () => {} }) })
  return { clock, board, current, reports, fence, targets: new Targets({ board, clock, current, reports, self, maxNearReportAge }) }
}

/** Runs the fence twice a second while a worker reports each second that it uses `revision`. */
async function runSeconds ({ clock, reports, fence }: Fixture, seconds: number, revision: number, leaving = false): Promise<void> {
  for (let index = 0; index < seconds; index++) {
    const sequence = 1 + clock.now()
    reports.accept({ report: { ...reportOf('w', '127.0.0.1:2', plain, undefined), sequence, revision, leaving }, age: 0 }, 'worker')
    await fence.update()
    clock.advance(500)
    await fence.update()
    clock.advance(500)
  }
}

test('an entry whose workers report a later configuration stops serving within 4 s, and serves again once it has it', async t => {
  const made = setUp()
  await runSeconds(made, 10, 4)
  t.false(made.board.read('behind'))
  await runSeconds(made, 3, 5)
  t.false(made.board.read('behind'), 'the entry has time to fetch it')
  await runSeconds(made, 1, 5)
  t.true(made.board.read('behind'))
  made.current.accept({ ...emptyConfiguration, revision: 5 })
  await made.fence.update()
  t.false(made.board.read('behind'))
})

test('an entry that fetches each change in time keeps serving, also when changes follow each other', async t => {
  const made = setUp()
  for (let revision = 5; revision < 15; revision++) {
    await runSeconds(made, 1, revision)
    made.current.accept({ ...emptyConfiguration, revision })
    await made.fence.update()
    t.false(made.board.read('behind'))
  }
})

test('an entry that receives no reports offers no worker once the known reports are too old', async t => {
  const made = setUp()
  await runSeconds(made, 3, 4)
  t.is(made.targets.workers(plain).length, 1)
  t.truthy(made.targets.home(plain, 3))
  made.clock.advance(maxNearReportAge)
  t.deepEqual(made.targets.workers(plain), [])
  t.is(made.targets.home(plain, 3), undefined)
})

test('a worker that reports that it leaves, or that the configuration lists as leaving, is no longer offered', async t => {
  const made = setUp()
  await runSeconds(made, 1, 4)
  made.current.accept({ ...emptyConfiguration, revision: 5, leaving: ['w'] })
  t.deepEqual(made.targets.workers(plain), [])
  const other = setUp()
  await runSeconds(other, 1, 4, true)
  t.deepEqual(other.targets.workers(plain), [])
  t.is(other.targets.home(plain, 3), undefined)
})
