/**
 * The workers to which requests can be sent, and the home of each key. The keys of a plain service are divided into
 * slots. The home of a slot is the worker that may run requests with keys of that slot. Owns this entry's own counts of
 * requests at each worker. Relies on the reports of workers and on the placements on the board.
 */
import { type Clock } from '@eiderwind/clock'
import { type CurrentConfiguration } from '@eiderwind/config'
import { load, type Candidate } from '@eiderwind/route'
import { type EntryAddress, type Node, type Replica, type Report } from '@eiderwind/schema'
import { type ReceivedReport, type Reports } from '@eiderwind/spread'
import { type EntryBoard } from './facts.js'

/** Age at which a report of a worker in another data centre is too old to send requests to that worker, in ms. */
const maxFarReportAge = 15_000

/** A worker counts as crowded when its load reaches this multiple of its concurrency. */
const crowdedFactor = 2

/** A worker that requests can be sent to. */
export interface Target {
  readonly candidate: Candidate
  readonly worker: string
  /** `host:port`. */
  readonly address: string
  /** Id of one run of the worker process. Each start of the process has a new one. */
  readonly incarnation: string
}

/** The home of a slot of keys. */
export interface HomeTarget extends Target {
  /**
   * Number of the worker's tenure: its current period as the home, in which no other worker was the home. Each tenure
   * has a new number.
   */
  readonly tenure: number
}

/** This entry's own counts of the requests at one worker. */
interface LocalCounts {
  /** Requests without an answer. */
  open: number
  /** Send times, on `Clock.now`, of the requests that the worker's latest report does not include yet. */
  sentAt: number[]
}

/** Dependencies of the targets. */
export interface TargetsOptions {
  readonly board: EntryBoard
  readonly clock: Clock
  readonly current: CurrentConfiguration
  readonly reports: Reports
  readonly self: EntryAddress
  /** Age at which a report of a worker in this data centre is too old, in ms. */
  readonly maxNearReportAge: number
}

/** The workers that requests can be sent to, with their load from reports and this entry's own counts. */
export class Targets {
  readonly #options: TargetsOptions
  readonly #localCounts = new Map<string, LocalCounts>()
  /** Region of each node of `#regionNodes`. Rebuilt when the node list changes. */
  #regions: ReadonlyMap<string, string> = new Map()
  #regionNodes: readonly Node[] = []

  constructor (options: TargetsOptions) {
    this.#options = options
  }

  /** The heads of the serving replicas of a model service. */
  heads (service: string): Target[] {
    const leaving = new Set(this.#options.current.configuration.leaving)
    const targets: Target[] = []
    for (const { replicas } of this.#options.board.read('placements').values()) {
      for (const replica of replicas) {
        if (replica.service !== service || replica.members.some(id => leaving.has(id))) continue
        const target = this.#head(replica)
        if (target !== undefined) targets.push(target)
      }
    }
    return targets
  }

  /** The serving workers of a plain service. */
  workers (service: string): Target[] {
    const leaving = new Set(this.#options.current.configuration.leaving)
    const targets: Target[] = []
    for (const received of this.#options.reports.all) {
      const { report } = received
      if (report.service !== service || report.replica !== undefined || leaving.has(report.worker)) continue
      if (this.#isUsable(received)) targets.push(this.#target(received, report.worker))
    }
    return targets
  }

  /**
   * The home of a slot of a plain service's keys. If several workers report that they are the home, the latest report
   * decides.
   */
  home (service: string, slot: number): HomeTarget | undefined {
    let latest: ReceivedReport | undefined
    for (const received of this.#options.reports.all) {
      const { report, madeAt } = received
      if (report.service !== service || !this.#isUsable(received) || madeAt <= (latest?.madeAt ?? -Infinity)) continue
      if (report.slots.some(each => each.slot === slot)) latest = received
    }
    const held = latest?.report.slots.find(each => each.slot === slot)
    if (latest === undefined || held === undefined) return undefined
    return { ...this.#target(latest, latest.report.worker), tenure: held.tenure }
  }

  /**
   * The nearest of `targets` that are not crowded: those of this data centre, else those of this region, else all
   * others. All of `targets` if every one is crowded.
   */
  nearest (targets: readonly Target[]): Target[] {
    const free = targets.filter(({ candidate }) => load(candidate) < crowdedFactor * candidate.concurrency)
    const near = free.filter(({ worker }) => this.#options.reports.of(worker)?.report.dataCentre === this.#options.self.dataCentre)
    if (near.length > 0) return near
    const regional = this.regional(free)
    if (regional.length > 0) return regional
    return free.length > 0 ? free : [...targets]
  }

  /** The targets in this entry's region. A worker that is not in the node list counts as in this region. */
  regional (targets: readonly Target[]): Target[] {
    const { board, self } = this.#options
    const nodes = board.read('nodes')?.nodes ?? []
    if (this.#regionNodes !== nodes) {
      this.#regionNodes = nodes
      this.#regions = new Map(nodes.map(each => [each.id, each.region]))
    }
    return targets.filter(({ worker }) => (this.#regions.get(worker) ?? self.region) === self.region)
  }

  /** Whether the worker process that a request was sent to still runs: same incarnation, and a recent report. */
  isLive ({ worker, incarnation }: Target): boolean {
    const received = this.#options.reports.of(worker)
    return received !== undefined && received.report.incarnation === incarnation && this.#isFresh(received)
  }

  /** Records that a request is sent to a worker. */
  recordSent (worker: string): void {
    const counts = this.#countsOf(worker)
    counts.open++
    counts.sentAt.push(this.#options.clock.now())
  }

  /** Records that a request at a worker has ended. */
  recordEnded (worker: string): void {
    this.#countsOf(worker).open--
  }

  #head (replica: Replica): Target | undefined {
    const received = this.#options.reports.of(replica.members[0])
    if (received === undefined || received.report.replica !== replica.id || !this.#isUsable(received)) return undefined
    return this.#target(received, replica.id)
  }

  #isUsable (received: ReceivedReport): boolean {
    return received.report.serving && !received.report.leaving && this.#isFresh(received)
  }

  #isFresh ({ report, madeAt }: ReceivedReport): boolean {
    const { self, clock, maxNearReportAge } = this.#options
    const limit = report.dataCentre === self.dataCentre ? maxNearReportAge : maxFarReportAge
    return clock.now() - madeAt < limit
  }

  #target ({ report, madeAt }: ReceivedReport, id: string): Target {
    const counts = this.#countsOf(report.worker)
    while (counts.sentAt.length > 0 && counts.sentAt[0] < madeAt) counts.sentAt.shift()
    return { worker: report.worker, address: report.address, incarnation: report.incarnation, candidate: this.#candidate(report, counts, id) }
  }

  #candidate (report: Report, { open, sentAt }: LocalCounts, id: string): Candidate {
    return {
      id,
      reported: report.running + report.queued,
      concurrency: report.concurrency,
      open,
      unseen: sentAt.length
    }
  }

  #countsOf (worker: string): LocalCounts {
    const known = this.#localCounts.get(worker)
    if (known !== undefined) return known
    const counts: LocalCounts = { open: 0, sentAt: [] }
    this.#localCounts.set(worker, counts)
    return counts
  }
}
