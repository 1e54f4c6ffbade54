/**
 * A gateway that follows the upstream list of another one, on loopback. It follows while the list is recent, and
 * watches the store itself as soon as it is not. The tests guard against a source that still answers although it has
 * lost the store itself.
 */
import { createServer } from 'node:http'
import test from 'ava'
import { SystemClock } from '@eiderwind/clock'
import { Pauses } from '@eiderwind/detect'
import { type Log } from '@eiderwind/log'
import { Outage, Roster, type Upstream } from '@eiderwind/roster'
import { Connections } from '@eiderwind/wire'
import { gatewayBoard } from '../src/facts.js'
import { type Platform } from '../src/index.js'
import { UpstreamFeed } from '../src/upstreamfeed.js'
import { upstreamsCall } from '../src/upstreamcalls.js'
import { UpstreamList } from '../src/upstreamlist.js'

/** Maximum age of the list that is followed, in ms. */
const maxAge = 300

function upstream (id: string): Upstream {
  return { id, service: 's', address: `${id}:1`, dataCentre: 'dc', leaving: false, loaded: [], staged: [] }
}

/** Resolves when the condition holds. It is checked every 10 ms. */
async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 10))
}

/** A source and a gateway that follows it. `source.age` returns the age of the source's list, in ms. */
interface FeedFixture {
  isFollowing: boolean
  /** The age of the newest information each time the gateway stopped following, in ms. */
  readonly ages: number[]
  readonly roster: Roster
  readonly source: { list: Upstream[], age: () => number | undefined }
  /** What the feed reported as failed. */
  readonly failures: unknown[]
  readonly setStoreReached: (reached: boolean) => void
  /** Total time of pauses of this process, in ms. */
  pausedTime: number
}

/** Runs a test with a source and a follower, and closes both. */
async function withFeed (run: (feed: FeedFixture) => Promise<void>, expectsFailures = false): Promise<void> {
  const clock = new SystemClock()
  const source = { list: [upstream('a')], age: (): number | undefined => 0 }
  const server = createServer((_request, response) => {
    setTimeout(() => response.end(JSON.stringify({ life: 'l', newest: 1, upstreams: source.list, age: source.age() })), 20)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as { port: number }
  const board = gatewayBoard()
  board.write('store', true)
  const roster = new Roster(clock)
  const state: FeedFixture = { isFollowing: false, ages: [], roster, source, failures: [], setStoreReached: reached => board.write('store', reached), pausedTime: 0 }
  const setFollowing = (following: boolean): void => {
    if (state.isFollowing && !following) state.ages.push(clock.bootNow() - board.read('upstreamsAt'))
    state.isFollowing = following
  }
  const platform = { setFollowing } as unknown as Platform
  const pauses = new Pauses(clock, time => { state.pausedTime += time })
  const connections = new Connections({ connectTime: 500 })
  const log = { write: () => {} } as unknown as Log
  const upstreamList = new UpstreamList({ clock, log, board, roster, outage: new Outage(clock), maxAge })
  const feed = new UpstreamFeed({ clock, board, upstreamList, platform, call: upstreamsCall(clock, connections, () => {}), maxListAge: maxAge, sources: () => [{ id: 'source', address: `127.0.0.1:${port}` }], failed: error => state.failures.push(error) })
  feed.start()
  pauses.start()
  try {
    await run(state)
    if (!expectsFailures && state.failures.length > 0) throw state.failures[0]
  } finally {
    feed.stop()
    pauses.stop()
    connections.close()
    server.close()
    server.closeAllConnections()
  }
}

test('a source whose list is too old is no longer followed, and its answers are ignored', async t => {
  await withFeed(async feed => {
    await waitUntil(() => feed.isFollowing)
    t.deepEqual(feed.roster.upstreams.map(each => each.id), ['a'])
    const lostAt = Date.now()
    feed.pausedTime = 0
    feed.source.age = () => Date.now() - lostAt
    feed.source.list = [upstream('a'), upstream('b')]
    await waitUntil(() => !feed.isFollowing)
    const after = Date.now() - lostAt - feed.pausedTime
    t.true(after < 5 * maxAge, String(after))
    t.true(feed.ages[0] > maxAge, String(feed.ages[0]))
    // On a busy machine the feed may have stopped following sooner, after a late answer. After this loop every answer
    // is too old.
    while (Date.now() - lostAt <= maxAge) await new Promise(resolve => setTimeout(resolve, 10))
    feed.source.list = [upstream('c')]
    await new Promise(resolve => setTimeout(resolve, 2 * maxAge))
    t.false(feed.isFollowing)
    t.false(feed.roster.upstreams.some(each => each.id === 'c'))
    feed.source.age = () => 0
    await waitUntil(() => feed.isFollowing)
    t.deepEqual(feed.roster.upstreams.map(each => each.id), ['c'])
  })
})

// Guards against a gateway that takes the store for lost, follows a list that grows old, and asks the store no more.
test('a source that gives no age of its list is followed only while the store cannot be reached, and the store is watched meanwhile', async t => {
  await withFeed(async feed => {
    feed.source.age = () => undefined
    await new Promise(resolve => setTimeout(resolve, 2 * maxAge))
    t.false(feed.isFollowing)
    t.deepEqual(feed.roster.upstreams, [])
    feed.setStoreReached(false)
    await waitUntil(() => feed.roster.upstreams.length > 0)
    t.deepEqual(feed.roster.upstreams.map(each => each.id), ['a'])
    await new Promise(resolve => setTimeout(resolve, 2 * maxAge))
    t.false(feed.isFollowing)
  })
})

// Guards against: a part that throws at one change of the list ended the following of other gateways for good.
test('a list that a part cannot take is reported, and its source is followed on', async t => {
  await withFeed(async feed => {
    await waitUntil(() => feed.isFollowing)
    const unsubscribe = feed.roster.listen(() => { throw new Error('a listener failed') })
    feed.source.list = [upstream('b')]
    await waitUntil(() => feed.failures.length > 0)
    t.regex(String(feed.failures[0]), /a listener failed/)
    unsubscribe()
    feed.source.list = [upstream('c')]
    await waitUntil(() => feed.roster.upstreams.some(each => each.id === 'c'))
    t.true(feed.isFollowing)
  }, true)
})
