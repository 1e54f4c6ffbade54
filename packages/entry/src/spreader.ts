/**
 * Spreads what this entry has heard to other entries, and fetches what it lacks. Owns what each was told last; relies on
 * `spread` for who tells whom.
 */
import { Controller } from '@eiderwind/board'
import { type Clock } from '@eiderwind/clock'
import { type Current } from '@eiderwind/config'
import { Configuration, type EntryAddress } from '@eiderwind/schema'
import { Telling, columns, duties, reportTargets, type Heard, type Reports } from '@eiderwind/spread'
import { type Clients } from '@eiderwind/wire'
import { type EntryBoard, knownDigest, mergeEntries, mergeHomes, mergeNodes, mergePlacement } from './facts.js'
import { type Peers } from './peers.js'

/** Updates between two tellings of another data centre. */
const updatesPerFarExchange = 5

/** Entries of the own data centre that are told in one update; where there are more, they take turns. */
const maxNearPeers = 10

/** Silence of the entry that should tell of a worker after which the other one that the worker reports to does, in ms. */
const relayTakeoverAfter = 3000

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
  readonly #telling: Telling
  #turn = 0

  constructor (options: SpreaderOptions) {
    super()
    this.#options = options
    this.#telling = new Telling(options.clock)
  }

  async update (): Promise<void> {
    const { board, peers, self, reports } = this.#options
    reports.forget(forgetAfter)
    board.write('live', keepIfEqual(board.read('live'), peers.live(board.read('entries'))))
    const { near } = duties(self, board.read('entries'))
    const { far } = duties(self, board.read('live'))
    const rounds = Math.max(1, Math.ceil(near.length / maxNearPeers))
    const turn = this.#turn++
    const recipients = turn === 0 ? near : near.filter((_peer, index) => index % rounds === turn % rounds)
    const tasks: Promise<unknown>[] = recipients.map(peer => this.#exchange(peer, heard => this.#relaysNear(heard)))
    if (turn % updatesPerFarExchange === 0) {
      for (const { counterparts } of far) tasks.push(this.#exchangeWithFirst(counterparts))
    }
    if (near.length === 0) tasks.push(this.#fetchFromSeeds())
    await Promise.all(tasks)
  }

  /** Has the next update tell the other data centres too, because there is news that cannot wait. */
  sendToAllNext (): void {
    this.#turn = 0
  }

  /** Fetches what another entry has and this one lacks. */
  async fetchMissing (address: string, revision: number, peerDigest: number): Promise<void> {
    const { board, current, clients } = this.#options
    const calls = clients.entry(address)
    if (revision > current.revision) current.accept(Configuration.parse(await calls.configuration()))
    if (peerDigest === knownDigest(board)) return
    const { placements, homes, entries, nodes, nodesSeen } = await calls.known()
    for (const placement of placements) mergePlacement(board, placement)
    for (const each of homes) mergeHomes(board, each)
    mergeEntries(board, entries)
    if (nodesSeen > 0) mergeNodes(board, { seen: nodesSeen, nodes })
  }

  /** Tells the first of several entries that answers. */
  async #exchangeWithFirst (counterparts: readonly EntryAddress[]): Promise<void> {
    const { self } = this.#options
    for (const peer of counterparts.slice(0, 2)) {
      if (await this.#exchange(peer, heard => heard.report.dataCentre === self.dataCentre && takesRequests(heard))) return
    }
  }

  /**
   * Whether this entry tells its own data centre of a worker: those of other data centres that it heard of from there,
   * and those that report to it. Of the two entries that a worker reports to the first tells, and the second while
   * the first is silent about it.
   */
  #relaysNear ({ report, source, relayedAt }: Heard): boolean {
    const { board, self, clock } = this.#options
    if (source !== 'worker') return source === 'far'
    const [first] = reportTargets(report.worker, report.dataCentre, board.read('live'))
    return first?.id === self.id || clock.now() - relayedAt > relayTakeoverAfter
  }

  async #exchange (peer: EntryAddress, isChosen: (heard: Heard) => boolean): Promise<boolean> {
    const { clock, reports, peers, clients, board, current, self } = this.#options
    const now = clock.now()
    const heard = reports.after(this.#telling.since(peer.id), isChosen)
    const news = this.#telling.news(peer.id, heard)
    const message = { from: self, revision: current.revision, known: knownDigest(board), reports: [...news.reports], beats: columns(news.beats) }
    try {
      const { revision, known, lacking } = await clients.entry(peer.peer).exchange(message)
      this.#telling.arrived(peer.id, now, heard, lacking)
      peers.recordContact(peer.id)
      await this.fetchMissing(peer.peer, revision, known)
      return true
    } catch {
      // Not logged, since this runs each second: a peer that stays silent drops out of `Peers.live`, and the next exchange sends everything.
      this.#telling.failed(peer.id)
      return false
    }
  }

  async #fetchFromSeeds (): Promise<void> {
    const { seeds, self } = this.#options
    for (const seed of seeds) {
      // A seed that does not answer is asked again with the next update, a second later.
      if (seed !== self.peer) await this.fetchMissing(seed, Infinity, -1).catch(() => {})
    }
  }
}

/** Whether a worker takes requests by itself: one of a plain service, or the head of a replica. Others concern their own data centre only. */
function takesRequests ({ report }: Heard): boolean {
  return report.service !== undefined && (report.replica === undefined || report.members !== undefined)
}

/** The old list where the new one holds the same entries, so that nobody is told of a change that is none. */
function keepIfEqual (before: readonly EntryAddress[], after: readonly EntryAddress[]): readonly EntryAddress[] {
  return JSON.stringify(before) === JSON.stringify(after) ? before : after
}
