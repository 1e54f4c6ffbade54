import { Controller } from '@eiderwind/board'
import { type Clock } from '@eiderwind/clock'
import { type Current } from '@eiderwind/config'
import { Configuration, type EntryAddress } from '@eiderwind/schema'
import { duties, type AgedReport, type Heard, type Reports } from '@eiderwind/spread'
import { type Clients } from '@eiderwind/wire'
import { type EntryBoard, knownDigest, takeEntries, takeHomes, takeNodes, takePlacement } from './facts.js'
import { type Peers } from './peers.js'

/** Updates between two tellings of another data centre. */
const farEvery = 3

/** Silence after which a worker is forgotten, in ms. */
const forgetAfter = 600_000

/** What the spreading stands on. */
export interface SpreaderOptions {
  readonly board: EntryBoard
  readonly clock: Clock
  readonly current: Current
  readonly reports: Reports
  readonly peers: Peers
  readonly clients: Clients
  readonly self: EntryAddress
  /** Peer addresses to ask while no other entry is known. */
  readonly seeds: readonly string[]
}

/** Tells other entries what this one has heard, and fetches from them what it lacks. */
export class Spreader extends Controller {
  readonly name = 'spreader'
  readonly interval = 1000
  readonly #options: SpreaderOptions
  readonly #toldAt = new Map<string, number>()
  #turn = 0

  constructor (options: SpreaderOptions) {
    super()
    this.#options = options
  }

  async update (): Promise<void> {
    const { board, peers, self, reports } = this.#options
    reports.forget(forgetAfter)
    board.write('live', same(board.read('live'), peers.live(board.read('entries'))))
    const { near, far } = duties(self, board.read('entries'))
    const tasks: Promise<unknown>[] = near.map(peer => this.#tell(peer, heard => heard.direct || heard.report.dataCentre !== self.dataCentre))
    if (this.#turn++ % farEvery === 0) {
      for (const { counterparts } of far) tasks.push(this.#tellFirst(counterparts))
    }
    if (near.length === 0) tasks.push(this.#askSeeds())
    await Promise.all(tasks)
  }

  /** Has the next update tell the other data centres too, because there is news that cannot wait. */
  urge (): void {
    this.#turn = 0
  }

  /** Fetches what another entry has and this one lacks. */
  async fetch (address: string, revision: number, known: number): Promise<void> {
    const { board, current, clients } = this.#options
    const calls = clients.entry(address)
    if (revision > current.revision) current.accept(Configuration.parse(await calls.configuration()))
    if (known === knownDigest(board)) return
    const { placements, homes, entries, nodes, nodesSeen } = await calls.known()
    for (const placement of placements) takePlacement(board, placement)
    for (const each of homes) takeHomes(board, each)
    takeEntries(board, entries)
    if (nodesSeen > 0) takeNodes(board, { seen: nodesSeen, nodes })
  }

  /** Tells the first of several entries that answers. */
  async #tellFirst (counterparts: readonly EntryAddress[]): Promise<void> {
    const { self } = this.#options
    for (const peer of counterparts.slice(0, 2)) {
      if (await this.#tell(peer, heard => heard.report.dataCentre === self.dataCentre && heard.report.service !== undefined)) return
    }
  }

  async #tell (peer: EntryAddress, chosen: (heard: Heard) => boolean): Promise<boolean> {
    const { clock, reports, peers, clients, board, current, self } = this.#options
    const now = clock.now()
    const news: AgedReport[] = reports.after(this.#toldAt.get(peer.id) ?? -Infinity, chosen)
    const message = { from: self, revision: current.revision, known: knownDigest(board), reports: news }
    try {
      const { revision, known } = await clients.entry(peer.peer).exchange(message)
      this.#toldAt.set(peer.id, now)
      peers.heard(peer.id)
      await this.fetch(peer.peer, revision, known)
      return true
    } catch {
      return false
    }
  }

  async #askSeeds (): Promise<void> {
    const { seeds, self } = this.#options
    for (const seed of seeds) {
      if (seed !== self.peer) await this.fetch(seed, Infinity, -1).catch(() => {})
    }
  }
}

/** The old list where the new one holds the same entries, so that nobody is told of a change that is none. */
function same (before: readonly EntryAddress[], after: readonly EntryAddress[]): readonly EntryAddress[] {
  return JSON.stringify(before) === JSON.stringify(after) ? before : after
}
