/**
 * A model of a fleet's membership, without a network: many gateways with the real `Peers` and `Leadership` on one manual clock, whose
 * datagrams are lost or cut off, and else arrive at once. What is asked: who plans and who watches the store for the others, and how soon all agree after
 * a gateway dies, a data centre is cut off, or many restart at once. The load is that of large fleets: 35 gateways in five data centres is a
 * deployment in use; 100 and 300 are on the way to the size the system is built for (390, docs/CAPACITY.md).
 */
import test from 'ava'
import { ManualClock, seeded } from '@eiderwind/clock'
import { Pauses } from '@eiderwind/detect'
import { Log } from '@eiderwind/log'
import { Peers, type Heartbeat, type PeerAddress } from '@eiderwind/peers'
import { Outage } from '@eiderwind/roster'
import { gatewayBoard, type GatewayBoard } from '../src/facts.js'
import { Leadership } from '../src/leadership.js'
import { ModelDatagrams, Network } from './network.js'

const service = 'chat'
const dataCentres = 5

interface Member {
  readonly id: string
  readonly dataCentre: number
  readonly board: GatewayBoard
  readonly peers: Peers
  readonly leadership: Leadership
}

/** A fleet whose gateways all reach the store, unless `lose` says otherwise. */
class Fleet {
  readonly clock = new ManualClock()
  readonly network: Network
  readonly members = new Map<string, Member>()
  readonly #list: PeerAddress[]

  constructor (size: number, seed: number) {
    this.network = new Network(seeded(seed))
    this.#list = Array.from({ length: size }, (_each, index) => ({ id: `g${index}`, address: `g${index}:1` }))
  }

  async startAll (): Promise<void> {
    for (const { id } of this.#list) await this.start(id, true)
    for (const { peers } of this.members.values()) peers.setAddresses(this.#list)
  }

  async start (id: string, first = false): Promise<void> {
    const { clock } = this
    const board = gatewayBoard()
    board.write('store', true)
    board.write('listed', true)
    board.write('upstreamsFrom', 'store')
    const outage = new Outage(clock)
    outage.answered()
    const pauses = new Pauses(clock)
    pauses.start()
    const log = new Log({ level: 'error', sink: () => {}, fields: {} })
    const heartbeat = (): Heartbeat => ({ id, revision: 1, canPlan: leadership.eligible, canWatch: leadership.canWatch, inFlight: {}, suspects: [], inFlightByModel: {}, served: true, loads: {} })
    const peers: Peers = new Peers({ clock, id, address: `${id}:1`, datagrams: new ModelDatagrams(this.network, `${id}:1`), heartbeat, interval: 250, timeout: 1000 })
    const leadership: Leadership = new Leadership({ clock, log, board, outage, pauses, peers, id, firstStart: first })
    this.members.set(id, { id, dataCentre: Number(id.slice(1)) % dataCentres, board, peers, leadership })
    await peers.start()
    if (!first) peers.setAddresses(this.#list)
  }

  kill (id: string): void {
    this.members.get(id)?.peers.stop()
    this.members.delete(id)
  }

  /** A gateway that can no longer reach the store knows so at once. */
  lose (id: string): void {
    this.members.get(id)?.board.write('store', false)
  }

  planners (): string[] {
    return [...this.members.values()].filter(each => each.leadership.plans(service)).map(each => each.id)
  }

  watchers (): string[] {
    return [...this.members.values()].filter(each => each.leadership.isFollowed).map(each => each.id)
  }

  followers (): string[] {
    return [...this.members.values()].filter(each => each.leadership.follows).map(each => each.id)
  }

  /** Ms until one plans, two watch and every other one follows a gateway that watches, and stays so for two time-outs. */
  settle (): number {
    const begun = this.clock.now()
    const timeout = Math.max(...[...this.members.values()].map(each => each.peers.timeout))
    let since = begun
    while (this.clock.now() - since < 2 * timeout) {
      this.clock.advance(50)
      if (!this.#agrees()) since = this.clock.now()
      if (this.clock.now() - begun > 60_000) return Infinity
    }
    return since - begun
  }

  #agrees (): boolean {
    const watchers = new Set(this.watchers())
    if (this.planners().length !== 1 || watchers.size !== 2) return false
    return [...this.members.values()].every(({ id, leadership }) => watchers.has(id) || leadership.sources.some(each => watchers.has(each.id)))
  }
}

async function started (size: number, seed: number): Promise<Fleet> {
  const fleet = new Fleet(size, seed)
  await fleet.startAll()
  fleet.settle()
  return fleet
}

/** How many time-outs of silence a change may take: the silence itself, and a heartbeat by which the next one is known. */
const withinTimeouts = 1.5

for (const size of [35, 100]) {
  test(`of ${size} gateways one plans, two watch the store and the others follow, also after either of them has died`, async t => {
    const fleet = await started(size, size)
    t.is(fleet.planners().length, 1)
    t.is(fleet.watchers().length, 2)
    t.is(fleet.followers().length, size - 2)
    const limit = withinTimeouts * [...fleet.members.values()][0].peers.timeout
    for (const victim of [fleet.planners()[0], fleet.watchers()[0]]) {
      fleet.kill(victim)
      const { clock } = fleet
      const killedAt = clock.now()
      while (fleet.planners().length !== 1) {
        clock.advance(50)
        if (clock.now() - killedAt > limit) return t.fail(`nobody plans ${clock.now() - killedAt} ms after ${victim} has died`)
      }
      t.true(fleet.settle() <= 2 * limit)
    }
  })
}

test('a gateway that loses the store neither plans nor watches, and another one does within a second', async t => {
  const fleet = await started(35, 3)
  for (const victim of [fleet.planners()[0], fleet.watchers()[0]]) {
    fleet.lose(victim)
    t.true(fleet.settle() <= 1000)
    t.false(fleet.watchers().includes(victim))
    t.true((fleet.members.get(victim) as Member).leadership.sources.length > 0)
  }
})

test('while a data centre is cut off, the gateways outside have one planner and two that watch', async t => {
  const fleet = await started(35, 4)
  const inside = (address: string): boolean => Number(address.slice(1).split(':')[0]) % dataCentres === 0
  fleet.network.cut = (from, to) => inside(from) !== inside(to)
  fleet.clock.advance(2500)
  const outside = ([...fleet.members.values()]).filter(each => each.dataCentre !== 0)
  t.is(outside.filter(each => each.leadership.plans(service)).length, 1)
  t.is(outside.filter(each => each.leadership.isFollowed).length, 2)
  fleet.network.cut = () => false
  t.true(fleet.settle() <= 1500)
})

test('after a third of the gateways have restarted at once, one plans and two watch within 5 s', async t => {
  const fleet = await started(35, 5)
  const restarted = [...fleet.members.keys()].filter((_id, index) => index % 3 === 0)
  for (const id of restarted) fleet.kill(id)
  fleet.clock.advance(500)
  for (const id of restarted) await fleet.start(id)
  t.true(fleet.settle() <= 5000)
})

test('a gateway that no list names is sent to by all that have heard it, and follows like the others', async t => {
  const fleet = await started(35, 6)
  await fleet.start('g99')
  t.true(fleet.settle() <= 5000)
  t.is((fleet.members.get('g99') as Member).peers.live.length, 35)
})

test('a fleet of six is small: each watches the store for itself, and one plans', async t => {
  const fleet = new Fleet(6, 7)
  await fleet.startAll()
  fleet.clock.advance(5000)
  t.deepEqual(fleet.watchers(), [])
  t.deepEqual(fleet.followers(), [])
  t.is(fleet.planners().length, 1)
  for (const { leadership } of fleet.members.values()) t.false(leadership.isSpared)
})

for (const size of [35, 100, 300]) {
  test(`of ${size} gateways each sends at most 170 datagrams a second`, async t => {
    const fleet = new Fleet(size, size)
    // What is sent depends on the list alone; delivering it would only take time.
    fleet.network.cut = () => true
    await fleet.startAll()
    fleet.clock.advance(2000)
    const before = fleet.network.sent
    const span = 5000
    fleet.clock.advance(span)
    t.true((fleet.network.sent - before) / size / (span / 1000) <= 170)
  })
}
