/**
 * What a gateway tells of the upstreams whose records lapsed in an outage: it has yet to judge whether they are gone. One that followed it then and watches the
 * store by itself again must learn of their end, which the store does not tell a second time.
 */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Outage, Roster, type Upstream } from '@eiderwind/roster'
import { ChangeLog } from '../src/changelog.js'
import { gatewayBoard } from '../src/facts.js'
import { type UpstreamChanges } from '../src/messages.js'

/** Above the shortest outage in which records may lapse, and above the time in which they are listed again, in ms. */
const outageTime = 3000
const relistTime = 3000

/** The store's revisions before and after the outage. */
const before = 5
const after = 7

function upstream (id: string): Upstream {
  return { id, service: 's', address: `${id}:1`, dataCentre: 'dc', leaving: false, loaded: [], staged: [] }
}

const [stays, ends] = [upstream('stays'), upstream('ends')]

/** A gateway that has watched the store from before an outage to after it, in which one of two records went. */
function source (clock: ManualClock): { roster: Roster, log: ChangeLog } {
  const outage = new Outage(clock)
  const roster = new Roster(clock, outage)
  const board = gatewayBoard()
  const log = new ChangeLog({ clock, roster, board, life: 'source', wait: 0 })
  roster.replace([stays, ends])
  board.write('upstreamsRevision', before)
  outage.answered()
  const askedAt = clock.bootNow()
  clock.advance(outageTime)
  outage.failed(askedAt)
  outage.failed(askedAt)
  outage.answered()
  roster.replace([stays])
  board.write('upstreamsRevision', after)
  return { roster, log }
}

/** Takes an answer as a follower does, and what the store tells one that goes on behind a revision; without a revision it reads the whole list. */
function watchAgain (roster: Roster, { upstreams, changes = [], revision }: UpstreamChanges): void {
  if (upstreams === undefined) roster.apply(changes, 'certain')
  else roster.replace(upstreams, 'certain')
  if (revision === undefined || revision < after) roster.replace([stays])
}

test('a gateway that followed another one just after an outage, and watches the store itself again, keeps no upstream that has ended', async t => {
  for (const asked of [undefined, before].map(revision => ({ life: '', after: 0, revision }))) {
    const clock = new ManualClock()
    const { log } = source(clock)
    const follower = new Roster(clock)
    follower.replace([stays, ends])
    const answer = log.after(asked)
    // One that lacks no change waits for the next for as long as the log says.
    clock.advance(0)
    watchAgain(follower, await answer)
    t.deepEqual(follower.upstreams, [stays])
  }
})

test('a gateway that goes on following hears of the end, and then up to which revision it knows all', async t => {
  const clock = new ManualClock()
  const { log, roster } = source(clock)
  const first = await log.after({ life: '', after: 0, revision: undefined })
  t.deepEqual([first.upstreams, first.revision], [[stays, ends], undefined])
  clock.advance(relistTime)
  t.deepEqual(roster.upstreams, [stays])
  const second = await log.after({ life: first.life, after: first.newest, revision: undefined })
  t.deepEqual([second.changes, second.revision], [[{ gone: 'ends' }], after])
})
