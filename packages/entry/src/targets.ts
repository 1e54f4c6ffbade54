/**
 * The workers to which requests can be sent, and where a key has its home. Owns what this entry counts of each worker; relies
 * on the board for reports and leases.
 */
import { type Clock } from '@eiderwind/clock'
import { type Current } from '@eiderwind/config'
import { load, type Candidate } from '@eiderwind/route'
import { type EntryAddress, type Node, type Replica, type Report } from '@eiderwind/schema'
import { type Heard, type Reports } from '@eiderwind/spread'
import { type EntryBoard } from './facts.js'

/** Age at which a report of a worker in another data centre is too old to send anything by it, in ms. */
const maxFarReportAge = 15_000

/** Requests at a worker, in multiples of those that run at once there, from which on it is too crowded to be the nearest. */
const crowdedFactor = 2

/** A worker that requests can be sent to. */
export interface Target {
  readonly candidate: Candidate
  readonly worker: string
  /** `host:port`. */
  readonly address: string
  readonly incarnation: string
}

/** The home of a slot of keys. */
export interface HomeTarget extends Target {
  /** The stretch of being the home, as the worker counts them. */
  readonly tenure: number
}

/** What an entry counts itself of one worker. */
interface LocalCounts {
  open: number
  sentAt: number[]
}

/** What the targets stand on. */
export interface TargetsOptions {
  readonly board: EntryBoard
  readonly clock: Clock
  readonly current: Current
  readonly reports: Reports
  readonly self: EntryAddress
  /** Age at which a report of a worker in the own data centre is too old, in ms. */
  readonly maxNearReportAge: number
}

/** The workers that requests can be sent to, with their load as this entry can tell. */
export class Targets {
  readonly #options: TargetsOptions
  readonly #localCounts = new Map<string, LocalCounts>()
  /** The region of each node in the list that it was made from. */
  #regions: ReadonlyMap<string, string> = new Map()
  #regionNodes: readonly Node[] = []

  constructor (options: TargetsOptions) {
    this.#options = options
  }

  /** The heads of the replicas of a model service that serve. */
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

  /** The workers of a plain service that serve. */
  workers (service: string): Target[] {
    const leaving = new Set(this.#options.current.configuration.leaving)
    const targets: Target[] = []
    for (const heard of this.#options.reports.all) {
      const { report } = heard
      if (report.service !== service || report.replica !== undefined || leaving.has(report.worker)) continue
      if (this.#isUsable(heard)) targets.push(this.#target(heard, report.worker))
    }
    return targets
  }

  /** The worker of a plain service that is the home of a slot of keys: of several that say so, the one that said it last. */
  home (service: string, slot: number): HomeTarget | undefined {
    let latest: Heard | undefined
    for (const heard of this.#options.reports.all) {
      const { report, madeAt } = heard
      if (report.service !== service || !this.#isUsable(heard) || madeAt <= (latest?.madeAt ?? -Infinity)) continue
      if (report.slots.some(each => each.slot === slot)) latest = heard
    }
    const held = latest?.report.slots.find(each => each.slot === slot)
    if (latest === undefined || held === undefined) return undefined
    return { ...this.#target(latest, latest.report.worker), tenure: held.tenure }
  }

  /** The nearest of `targets` that are not crowded: own data centre, own region, anywhere; all of them where none is. */
  nearest (targets: readonly Target[]): Target[] {
    const free = targets.filter(({ candidate }) => load(candidate) < crowdedFactor * candidate.concurrency)
    const near = free.filter(({ worker }) => this.#options.reports.of(worker)?.report.dataCentre === this.#options.self.dataCentre)
    if (near.length > 0) return near
    const regional = this.regional(free)
    if (regional.length > 0) return regional
    return free.length > 0 ? free : [...targets]
  }

  /** Those of `targets` in this entry's region. */
  regional (targets: readonly Target[]): Target[] {
    const { board, self } = this.#options
    const nodes = board.read('nodes')?.nodes ?? []
    if (this.#regionNodes !== nodes) {
      this.#regionNodes = nodes
      this.#regions = new Map(nodes.map(each => [each.id, each.region]))
    }
    return targets.filter(({ worker }) => (this.#regions.get(worker) ?? self.region) === self.region)
  }

  /** Whether a worker still is the process that a request was sent to, and not silent. */
  isLive ({ worker, incarnation }: Target): boolean {
    const heard = this.#options.reports.of(worker)
    return heard !== undefined && heard.report.incarnation === incarnation && this.#isFresh(heard)
  }

  /** Notes that a request goes to a worker. */
  recordSent (worker: string): void {
    const counts = this.#countsOf(worker)
    counts.open++
    counts.sentAt.push(this.#options.clock.now())
  }

  /** Notes that a request at a worker is over. */
  recordEnded (worker: string): void {
    this.#countsOf(worker).open--
  }

  #head (replica: Replica): Target | undefined {
    const heard = this.#options.reports.of(replica.members[0])
    if (heard === undefined || heard.report.replica !== replica.id || !this.#isUsable(heard)) return undefined
    return this.#target(heard, replica.id)
  }

  #isUsable (heard: Heard): boolean {
    return heard.report.serving && !heard.report.leaving && this.#isFresh(heard)
  }

  #isFresh ({ report, madeAt }: Heard): boolean {
    const { self, clock, maxNearReportAge } = this.#options
    const limit = report.dataCentre === self.dataCentre ? maxNearReportAge : maxFarReportAge
    return clock.now() - madeAt < limit
  }

  #target ({ report, madeAt }: Heard, id: string): Target {
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
