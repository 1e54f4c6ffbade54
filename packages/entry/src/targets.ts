import { type Clock } from '@eiderwind/clock'
import { type Current } from '@eiderwind/config'
import { load, type Candidate } from '@eiderwind/route'
import { type EntryAddress, type Replica, type Report } from '@eiderwind/schema'
import { type Heard, type Reports } from '@eiderwind/spread'
import { type EntryBoard } from './facts.js'

/** Age at which a report of a worker in another data centre is too old to send anything by it, in ms. */
const farAge = 15_000

/** Weight of the newest time to the first byte in the running mean. */
const meanWeight = 0.2

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
interface Tally {
  open: number
  sent: number[]
  firstByte: number | undefined
}

/** What the targets stand on. */
export interface TargetsOptions {
  readonly board: EntryBoard
  readonly clock: Clock
  readonly current: Current
  readonly reports: Reports
  readonly self: EntryAddress
  /** Age at which a report of a worker in the own data centre is too old, in ms. */
  readonly nearAge: number
}

/** The workers that requests can be sent to, with their load as this entry can tell. */
export class Targets {
  readonly #options: TargetsOptions
  readonly #tallies = new Map<string, Tally>()

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
      if (this.#usable(heard)) targets.push(this.#target(heard, report.worker))
    }
    return targets
  }

  /** The worker of a plain service that is the home of a slot of keys: of several that say so, the one that said it last. */
  home (service: string, slot: number): HomeTarget | undefined {
    let latest: Heard | undefined
    for (const heard of this.#options.reports.all) {
      const { report, madeAt } = heard
      if (report.service !== service || !this.#usable(heard) || madeAt <= (latest?.madeAt ?? -Infinity)) continue
      if (report.slots.some(each => each.slot === slot)) latest = heard
    }
    const held = latest?.report.slots.find(each => each.slot === slot)
    if (latest === undefined || held === undefined) return undefined
    return { ...this.#target(latest, latest.report.worker), tenure: held.tenure }
  }

  /** The nearest of `targets` with a place free: own data centre, own region, anywhere; all of them where none has. */
  nearest (targets: readonly Target[]): Target[] {
    const free = targets.filter(({ candidate }) => load(candidate) < candidate.concurrency)
    const { self, reports } = this.#options
    const near = free.filter(({ worker }) => reports.of(worker)?.report.dataCentre === self.dataCentre)
    if (near.length > 0) return near
    return free.length > 0 ? free : [...targets]
  }

  /** Whether a worker still is the process that a request was sent to, and not silent. */
  alive ({ worker, incarnation }: Target): boolean {
    const heard = this.#options.reports.of(worker)
    return heard !== undefined && heard.report.incarnation === incarnation && this.#fresh(heard)
  }

  /** Notes that a request goes to a worker. */
  open (worker: string): void {
    const tally = this.#tally(worker)
    tally.open++
    tally.sent.push(this.#options.clock.now())
  }

  /** Notes that a request at a worker is over. */
  close (worker: string): void {
    this.#tally(worker).open--
  }

  /** Notes how long a worker took to its first byte, in ms. */
  answered (worker: string, span: number): void {
    const tally = this.#tally(worker)
    tally.firstByte = tally.firstByte === undefined ? span : tally.firstByte + meanWeight * (span - tally.firstByte)
  }

  #head (replica: Replica): Target | undefined {
    const heard = this.#options.reports.of(replica.members[0])
    if (heard === undefined || heard.report.replica !== replica.id || !this.#usable(heard)) return undefined
    return this.#target(heard, replica.id)
  }

  #usable (heard: Heard): boolean {
    return heard.report.serving && !heard.report.leaving && this.#fresh(heard)
  }

  #fresh ({ report, madeAt }: Heard): boolean {
    const { self, clock, nearAge } = this.#options
    const limit = report.dataCentre === self.dataCentre ? nearAge : farAge
    return clock.now() - madeAt < limit
  }

  #target ({ report, madeAt }: Heard, id: string): Target {
    const tally = this.#tally(report.worker)
    while (tally.sent.length > 0 && tally.sent[0] < madeAt) tally.sent.shift()
    return { worker: report.worker, address: report.address, incarnation: report.incarnation, candidate: this.#candidate(report, madeAt, tally, id) }
  }

  #candidate (report: Report, madeAt: number, { open, sent, firstByte }: Tally, id: string): Candidate {
    return {
      id,
      reported: report.running + report.queued,
      concurrency: report.concurrency,
      open,
      unseen: sent.length,
      age: this.#options.clock.now() - madeAt,
      firstByte
    }
  }

  #tally (worker: string): Tally {
    const known = this.#tallies.get(worker)
    if (known !== undefined) return known
    const tally: Tally = { open: 0, sent: [], firstByte: undefined }
    this.#tallies.set(worker, tally)
    return tally
  }
}
