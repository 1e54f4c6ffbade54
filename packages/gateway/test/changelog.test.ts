/**
 * What a gateway reports to its followers about upstreams whose records lapsed in an outage, before it has decided
 * whether they are gone. A gateway that followed it then and watches the store itself again must learn of their end,
 * although the store does not report it a second time.
 */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Outage, Roster, type Upstream } from '@eiderwind/roster'
import { ChangeLog } from '../src/changelog.js'
import { gatewayBoard } from '../src/facts.js'
import { type UpstreamChanges } from '../src/messages.js'

/** Length of the outage, in ms. It is above the shortest outage in which records may lapse. */
const outageTime = 3000
/** Time after the outage, in ms. It is above the time in which lapsed records are listed again. */
const relistTime = 3000

/** Revisions of the store before and after the outage. */
const before = 5
const after = 7

function upstream (id: string): Upstream {
  return { id, service: 's', address: `${id}:1`, dataCentre: 'dc', leaving: false, loaded: [], staged: [] }
}

const [stays, ends] = [upstream('stays'), upstream('ends')]

/** Creates a gateway that watches the store before and after an outage in which one of two records lapsed. */
function source (clock: ManualClock): { roster: Roster, log: ChangeLog } {
  const outage = new Outage(clock)
  const roster = new Roster(clock, outage)
  const board = gatewayBoard()
  const log = new ChangeLog({ clock, roster, board, incarnation: 'source', maxWait: 0 })
  roster.replace([stays, ends])
  board.write('upstreamsRevision', before)
  outage.recordAnswer()
  const askedAt = clock.bootNow()
  clock.advance(outageTime)
  outage.recordFailure(askedAt)
  outage.recordFailure(askedAt)
  outage.recordAnswer()
  roster.replace([stays])
  board.write('upstreamsRevision', after)
  return { roster, log }
}

/**
 * Applies an answer as a follower does, and then what the store reports to a watch that resumes after the revision of
 * the answer. Without a revision, the whole list is read.
 */
function resumeWatch (roster: Roster, { upstreams, changes = [], revision }: UpstreamChanges): void {
  if (upstreams === undefined) roster.apply(changes, 'certain')
  else roster.replace(upstreams, 'certain')
  if (revision === undefined || revision < after) roster.replace([stays])
}

test('a gateway that followed another one just after an outage and watches the store itself again does not keep an upstream that has ended', async t => {
  for (const request of [undefined, before].map(revision => ({ life: '', after: 0, revision }))) {
    const clock = new ManualClock()
    const { log } = source(clock)
    const follower = new Roster(clock)
    follower.replace([stays, ends])
    const answer = log.after(request)
    // A request that lacks no change waits for the next one, for as long as the option `maxWait` says.
    clock.advance(0)
    resumeWatch(follower, await answer)
    t.deepEqual(follower.upstreams, [stays])
  }
})

test('a gateway that continues to follow receives the end of the upstream, and then the revision up to which it has all changes', async t => {
  const clock = new ManualClock()
  const { log, roster } = source(clock)
  const first = await log.after({ life: '', after: 0, revision: undefined })
  t.deepEqual([first.upstreams, first.revision], [[stays, ends], undefined])
  clock.advance(relistTime)
  t.deepEqual(roster.upstreams, [stays])
  const second = await log.after({ life: first.life, after: first.newest, revision: undefined })
  t.deepEqual([second.changes, second.revision], [[{ gone: 'ends' }], after])
})
