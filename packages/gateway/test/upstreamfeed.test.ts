/**
 * A gateway that follows another one's list of upstreams, on loopback: it goes on while what it hears is young, and watches the store itself
 * as soon as it is not. The pattern is a source that answers on although its own way to the store has failed.
 */
import { createServer } from 'node:http'
import test from 'ava'
import { SystemClock } from '@eiderwind/clock'
import { Pauses } from '@eiderwind/detect'
import { Roster, type Upstream } from '@eiderwind/roster'
import { Connections } from '@eiderwind/wire'
import { gatewayBoard } from '../src/facts.js'
import { type Platform } from '../src/index.js'
import { UpstreamFeed } from '../src/upstreamfeed.js'

const patience = 300

function upstream (id: string): Upstream {
  return { id, service: 's', address: `${id}:1`, dataCentre: 'dc', leaving: false, loaded: [], staged: [] }
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 10))
}

/** A source and a gateway that follows it. `age` gives how old the source's list is. */
interface Followed {
  following: boolean
  /** How old the newest word was each time when it was followed no longer, in ms. */
  readonly ages: number[]
  readonly roster: Roster
  readonly source: { list: Upstream[], age: () => number | undefined }
  readonly store: (reached: boolean) => void
  /** For how long this process has stood still, in ms. */
  stoodStill: number
}

async function followed (run: (feed: Followed) => Promise<void>): Promise<void> {
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
  const state: Followed = { following: false, ages: [], roster, source, store: reached => board.write('store', reached), stoodStill: 0 }
  const setFollowing = (following: boolean): void => {
    if (state.following && !following) state.ages.push(clock.bootNow() - board.read('upstreamsAt'))
    state.following = following
  }
  const platform = { setFollowing } as unknown as Platform
  const pauses = new Pauses(clock, time => { state.stoodStill += time })
  const connections = new Connections({ connectTime: 500 })
  const feed = new UpstreamFeed({ clock, board, roster, platform, connections, patience, sources: () => [{ id: 'source', address: `127.0.0.1:${port}` }], failed: error => { throw error } })
  feed.start()
  pauses.start()
  try {
    await run(state)
  } finally {
    feed.stop()
    pauses.stop()
    connections.close()
    server.close()
    server.closeAllConnections()
  }
}

test('a source whose list gets old is followed no longer, and what it says then is not taken', async t => {
  await followed(async feed => {
    await until(() => feed.following)
    t.deepEqual(feed.roster.upstreams.map(each => each.id), ['a'])
    const lostAt = Date.now()
    feed.stoodStill = 0
    feed.source.age = () => Date.now() - lostAt
    feed.source.list = [upstream('a'), upstream('b')]
    await until(() => !feed.following)
    const after = Date.now() - lostAt - feed.stoodStill
    t.true(after < 5 * patience, String(after))
    t.true(feed.ages[0] > patience, String(feed.ages[0]))
    // On a busy machine an answer that came too late may have ended it sooner; from here on every answer is too old.
    while (Date.now() - lostAt <= patience) await new Promise(resolve => setTimeout(resolve, 10))
    feed.source.list = [upstream('c')]
    await new Promise(resolve => setTimeout(resolve, 2 * patience))
    t.false(feed.following)
    t.false(feed.roster.upstreams.some(each => each.id === 'c'))
    feed.source.age = () => 0
    await until(() => feed.following)
    t.deepEqual(feed.roster.upstreams.map(each => each.id), ['c'])
  })
})

test('an old list counts where the store cannot be reached, and one without an age only there', async t => {
  await followed(async feed => {
    feed.source.age = () => undefined
    await new Promise(resolve => setTimeout(resolve, 2 * patience))
    t.false(feed.following)
    t.deepEqual(feed.roster.upstreams, [])
    feed.store(false)
    await until(() => feed.following)
    t.deepEqual(feed.roster.upstreams.map(each => each.id), ['a'])
  })
})
