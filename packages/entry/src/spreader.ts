/**
 * Sends the reports that this entry has received to other entries, and fetches the state that it lacks. Owns the record
 * of what each peer was sent. Relies on `spread` for which entries exchange state.
 */
import { Controller } from '@eiderwind/board'
import { type Clock } from '@eiderwind/clock'
import { type CurrentConfiguration } from '@eiderwind/config'
import { Configuration, type EntryAddress } from '@eiderwind/schema'
import { SentReports, toColumns, duties, reportTargets, type ReceivedReport, type Reports } from '@eiderwind/spread'
import { type Clients } from '@eiderwind/wire'
import { type EntryBoard, knownDigest, mergeEntries, mergeVoters, mergeNodes, mergePlacement } from './facts.js'
import { type Peers } from './peers.js'

/** Number of updates between two exchanges with another data centre. */
const updatesPerFarExchange = 5

/**
 * Maximum number of peers of this data centre in one update. If there are more, they take turns. An update after
 * `sendToAllNext` includes all of them.
 */
const maxNearPeers = 10

/**
 * A worker reports to two entries, and the first of them relays its reports. After this time without a relayed report,
 * in ms, the second one relays them instead.
 */
const relayTakeoverAfter = 3000

/** Silence after which the report of a worker is deleted, in ms. */
const forgetAfter = 600_000

/** Dependencies of the spreader. */
export interface SpreaderOptions {
  readonly board: EntryBoard
  readonly clock: Clock
  readonly current: CurrentConfiguration
  readonly reports: Reports
  readonly peers: Peers
  readonly clients: Clients
  readonly self: EntryAddress
  /** Peer addresses to ask while no other entry is known. */
  readonly seeds: readonly string[]
}

/** Exchanges state with other entries: sends new reports, and fetches the state that this entry lacks. */
export class Spreader extends Controller {
  readonly name = 'spreader'
  readonly interval = 1000
  readonly #options: SpreaderOptions
  readonly #sentReports: SentReports
  #turn = 0

  constructor (options: SpreaderOptions) {
    super()
    this.#options = options
    this.#sentReports = new SentReports(options.clock)
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
    const tasks: Promise<unknown>[] = recipients.map(peer => this.#exchange(peer, received => this.#relaysNear(received)))
    if (turn % updatesPerFarExchange === 0) {
      for (const { counterparts } of far) tasks.push(this.#exchangeWithFirst(counterparts))
    }
    if (near.length === 0) tasks.push(this.#fetchFromSeeds())
    await Promise.all(tasks)
  }

  /**
   * Makes the next update exchange state with all peers of this data centre, and with one entry of each other data
   * centre that this entry exchanges state with. For changes that must spread at once.
   */
  sendToAllNext (): void {
    this.#turn = 0
  }

  /**
   * Fetches the state that another entry has and this one lacks.
   *
   * @param revision the other entry's configuration revision
   * @param peerDigest the digest of the rest of the other entry's state (`knownDigest`)
   */
  async fetchMissing (address: string, revision: number, peerDigest: number): Promise<void> {
    const { board, current, clients } = this.#options
    const calls = clients.entry(address)
    if (revision > current.revision) current.accept(Configuration.parse(await calls.configuration()))
    if (peerDigest === knownDigest(board)) return
    const { placements, homes, entries, nodes, nodesSeen } = await calls.known()
    for (const placement of placements) mergePlacement(board, placement)
    for (const each of homes) mergeVoters(board, each)
    mergeEntries(board, entries)
    if (nodesSeen > 0) mergeNodes(board, { seen: nodesSeen, nodes })
  }

  /**
   * Exchanges state with one entry of another data centre: the first of `counterparts`, or the second if it does not
   * answer.
   */
  async #exchangeWithFirst (counterparts: readonly EntryAddress[]): Promise<void> {
    const { self } = this.#options
    for (const peer of counterparts.slice(0, 2)) {
      if (await this.#exchange(peer, received => received.report.dataCentre === self.dataCentre && takesRequests(received))) return
    }
  }

  /**
   * Whether this entry relays a worker's report to its own data centre. It relays reports received from other data
   * centres, and those of workers that report to it. Of the two entries to which a worker reports, the first relays.
   * The second relays while the first relays nothing about that worker.
   */
  #relaysNear ({ report, source, relayedAt }: ReceivedReport): boolean {
    const { board, self, clock } = this.#options
    if (source !== 'worker') return source === 'far'
    const [first] = reportTargets(report.worker, report.dataCentre, board.read('live'))
    return first?.id === self.id || clock.now() - relayedAt > relayTakeoverAfter
  }

  async #exchange (peer: EntryAddress, isChosen: (received: ReceivedReport) => boolean): Promise<boolean> {
    const { clock, reports, peers, clients, board, current, self } = this.#options
    const now = clock.now()
    const received = reports.receivedSince(this.#sentReports.since(peer.id), isChosen)
    const content = this.#sentReports.messageFor(peer.id, received)
    const message = { from: self, revision: current.revision, known: knownDigest(board), reports: [...content.reports], beats: toColumns(content.beats) }
    try {
      const { revision, known, lacking } = await clients.entry(peer.peer).exchange(message)
      this.#sentReports.recordArrival(peer.id, now, received, lacking)
      peers.recordContact(peer.id)
      await this.fetchMissing(peer.peer, revision, known)
      return true
    } catch {
      // Not logged, since this runs each second. A peer that stays silent drops out of `Peers.live`. The next exchange
      // sends everything again.
      this.#sentReports.recordFailure(peer.id)
      return false
    }
  }

  async #fetchFromSeeds (): Promise<void> {
    const { seeds, self } = this.#options
    for (const seed of seeds) {
      // A seed that does not answer is tried again in the next update, a second later.
      if (seed !== self.peer) await this.fetchMissing(seed, Infinity, -1).catch(() => {})
    }
  }
}

/**
 * Whether a worker takes requests itself: a worker of a plain service, or the head of a replica. The reports of other
 * workers are only used in their own data centre.
 */
function takesRequests ({ report }: ReceivedReport): boolean {
  return report.service !== undefined && (report.replica === undefined || report.members !== undefined)
}

/** The old list if the new one holds the same entries, so that the board notifies no listener without a change. */
function keepIfEqual (before: readonly EntryAddress[], after: readonly EntryAddress[]): readonly EntryAddress[] {
  return JSON.stringify(before) === JSON.stringify(after) ? before : after
}
