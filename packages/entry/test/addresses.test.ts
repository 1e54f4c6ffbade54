/**
 * The address of an entry that has restarted. Other entries may still relay the old address. The tests guard against
 * the old address replacing the new one, after which other entries could no longer reach the entry.
 */
import test from 'ava'
import { ManualClock, seeded } from '@eiderwind/clock'
import { CurrentConfiguration } from '@eiderwind/config'
import { type EntryAddress } from '@eiderwind/schema'
import { Reports } from '@eiderwind/spread'
import { type Clients, type EntryCalls, type ExchangeMessage } from '@eiderwind/wire'
import { Calls } from '../src/calls.js'
import { entryBoard, mergeEntries, mergeListedEntries, type EntryBoard } from '../src/facts.js'
import { Peers } from '../src/peers.js'
import { Spreader } from '../src/spreader.js'

const oldAddress = address('e1', 'a', '127.0.0.1:1')
const newAddress = address('e1', 'b', '127.0.0.1:11')
const secondAddress = address('e2', 'a', '127.0.0.1:2')
const thirdAddress = address('e3', 'a', '127.0.0.1:3')

function address (id: string, incarnation: string | undefined, peer: string): EntryAddress {
  return { id, dataCentre: 'd1', region: 'r1', peer, incarnation }
}

/** The parts of an entry that exchange state with other entries, without a network. */
class TestEntry {
  readonly board: EntryBoard
  readonly calls: Calls
  readonly spreader: Spreader

  constructor (self: EntryAddress, clients: Clients, seeds: readonly string[] = []) {
    const clock = new ManualClock()
    const board = entryBoard(self)
    const current = new CurrentConfiguration()
    const reports = new Reports(clock)
    const peers = new Peers(clock, self)
    this.board = board
    this.spreader = new Spreader({ board, clock, current, reports, peers, clients, self, seeds })
    this.calls = new Calls({ board, current, reports, peers, dataCentre: 'd1', heads: () => [], fetchMissing: (from, revision, known) => this.spreader.fetchMissing(from, revision, known) })
  }

  /** The known address of another entry. */
  peer (id: string): string | undefined {
    return this.board.read('entries').find(each => each.id === id)?.peer
  }
}

/** Delivers calls between entries by address. Each call is delayed by a random number of turns of the event loop. */
class Network {
  readonly #entries = new Map<string, TestEntry>()
  readonly #delay: () => number
  readonly clients = { entry: (peer: string) => this.#calls(peer) } as unknown as Clients

  constructor (delay: () => number = () => 0) {
    this.#delay = delay
  }

  add (self: EntryAddress, seeds: readonly string[] = []): TestEntry {
    const entry = new TestEntry(self, this.clients, seeds)
    this.#entries.set(self.peer, entry)
    return entry
  }

  #calls (peer: string): Pick<EntryCalls, 'configuration' | 'known' | 'exchange'> {
    const reach = async <Output> (call: (calls: Calls) => Promise<Output>): Promise<Output> => {
      await waitTurns(this.#delay())
      const entry = this.#entries.get(peer)
      if (entry === undefined) throw new Error('no entry listens at this address')
      const output = await call(entry.calls)
      await waitTurns(this.#delay())
      return output
    }
    return {
      configuration: () => reach(calls => calls.configuration()),
      known: () => reach(calls => calls.known()),
      exchange: message => reach(calls => calls.exchange(message))
    }
  }
}

async function waitTurns (count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) await new Promise(resolve => setImmediate(resolve))
}

test('an entry that restarts keeps its new address although another entry still has the old one', async t => {
  const network = new Network()
  mergeEntries(network.add(secondAddress).board, [oldAddress])
  const entry = network.add(newAddress, [secondAddress.peer])
  await entry.spreader.update()
  t.is(entry.peer('e1'), newAddress.peer)
  t.is(entry.peer('e2'), secondAddress.peer)
})

test('an entry that restarts with its clock set back keeps its new address', async t => {
  const network = new Network()
  mergeEntries(network.add(secondAddress).board, [{ ...oldAddress, incarnation: 'c' }])
  const entry = network.add(newAddress, [secondAddress.peer])
  await entry.spreader.update()
  t.is(entry.peer('e1'), newAddress.peer)
})

test('the address that an entry sends for itself replaces the known one at once, also with an earlier incarnation or none', async t => {
  for (const self of [newAddress, { ...newAddress, incarnation: undefined }, { ...newAddress, incarnation: '0' }]) {
    const entry = new Network().add(secondAddress)
    mergeEntries(entry.board, [oldAddress])
    const none = { workers: [], stamps: [], sequences: [], running: [], queued: [], ages: [] }
    const message: ExchangeMessage = { from: self, revision: 0, known: 0, reports: [], beats: none }
    await entry.calls.exchange(message)
    t.is(entry.peer('e1'), newAddress.peer)
  }
})

test('after three rounds all entries know the new address of one that restarted, whatever the order of their calls', async t => {
  for (let seed = 1; seed <= 200; seed++) {
    const random = seeded(seed)
    const network = new Network(() => Math.floor(random() * 4))
    const others = [network.add(secondAddress), network.add(thirdAddress)]
    for (const other of others) mergeEntries(other.board, [oldAddress, secondAddress, thirdAddress])
    const entry = network.add(newAddress, [secondAddress.peer])
    for (let round = 0; round < 3; round++) {
      await Promise.all([entry, ...others].map(each => each.spreader.update()))
      await waitTurns(20)
    }
    for (const each of [entry, ...others]) t.is(each.peer('e1'), newAddress.peer, `seed ${seed}`)
  }
})

test('of two relayed addresses of an entry, the one with the later incarnation is kept, in either order', t => {
  for (const relayed of [[oldAddress, newAddress], [newAddress, oldAddress]]) {
    const { board } = new Network().add(secondAddress)
    for (const each of relayed) mergeEntries(board, [each])
    t.is(board.read('entries').find(each => each.id === 'e1')?.peer, newAddress.peer)
  }
})

test('an address without an incarnation replaces a known one if it comes from the platform\'s list, but not if it is relayed', t => {
  const earlier = { ...newAddress, incarnation: undefined }
  const { board } = new Network().add(secondAddress)
  mergeEntries(board, [oldAddress])
  mergeEntries(board, [earlier])
  t.is(board.read('entries').find(each => each.id === 'e1')?.peer, oldAddress.peer)
  mergeListedEntries(board, [earlier])
  t.is(board.read('entries').find(each => each.id === 'e1')?.peer, newAddress.peer)
})
