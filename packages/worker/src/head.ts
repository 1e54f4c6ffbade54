/**
 * The head of a replica: holds a grant of every member while it serves. Owns the lease over all of them; a request runs only
 * while it is held.
 */
import { v7 } from 'uuid'
import { Controller } from '@eiderwind/board'
import { type Clock } from '@eiderwind/clock'
import { Lease } from '@eiderwind/lease'
import { type Log, type Metric } from '@eiderwind/log'
import { type ModelAssignment } from '@eiderwind/schema'
import { type Queue } from '@eiderwind/admit'
import { type Clients } from '@eiderwind/wire'
import { WireChannel } from './channel.js'
import { type WorkerBoard } from './facts.js'
import { nodeResource, replicaHolder } from './grants.js'

/** Periods for which a member's grant has to be missing before it is reported: more than a restart takes to give one again. */
const missingPeriods = 3

/** What a head stands on. */
export interface HeadOptions {
  readonly clock: Clock
  readonly board: WorkerBoard
  readonly queue: Queue
  readonly clients: Clients
  readonly log: Log
  readonly metric: Metric
  readonly worker: string
  /** Lease period and renewal interval, in ms. */
  readonly period: number
  readonly leaseInterval: number
  /** Hands the sessions of a replica that stops as planned over to others. Takes a few seconds at the most. */
  readonly hand: (assignment: ModelAssignment) => Promise<void>
  /** Cuts everything in flight. Called when it may not go on. */
  readonly cut: () => void
}

interface Tenure {
  readonly assignment: ModelAssignment
  readonly lease: Lease
  /** What each member last said of its engine. */
  readonly ready: Map<string, boolean>
  /** Since when each member's grant has been missing, on `Clock.now`. */
  readonly missingSince: Map<string, number>
  /** No new requests any more; released when the last one is done. */
  draining: boolean
}

/**
 * The head's part of a model worker: it holds a grant of every member while it serves, and gives all of them up once
 * it should not serve any more and its last request is done.
 */
export class Head extends Controller {
  readonly name = 'head'
  readonly interval = 100
  readonly #options: HeadOptions
  #tenure: Tenure | undefined

  constructor (options: HeadOptions) {
    super()
    this.#options = options
  }

  /** Whether what is in flight may go on at this moment: every member's grant stands and every member's engine is ready. */
  get allowed (): boolean {
    const tenure = this.#tenure
    return tenure !== undefined && tenure.lease.valid && this.#ready(tenure)
  }

  /** Whether a new request may be taken at this moment. */
  get serving (): boolean {
    return this.allowed && this.#tenure?.draining === false
  }

  async update (): Promise<void> {
    const wanted = this.#wanted()
    const tenure = this.#tenure
    if (tenure === undefined) {
      if (wanted !== undefined) this.#begin(wanted)
    } else if (tenure.draining || !same(tenure.assignment, wanted)) {
      await this.#drain(tenure)
    }
    this.#watch()
    this.#note()
  }

  /** Gives every grant up at once, in flight or not. */
  async stop (): Promise<void> {
    const lease = this.#tenure?.lease
    this.#tenure = undefined
    await lease?.release()
  }

  #wanted (): ModelAssignment | undefined {
    const { board, worker } = this.#options
    const assignment = board.read('assignment')
    if (assignment?.kind !== 'model' || assignment.head !== worker || assignment.state !== 'serving') return undefined
    return board.read('stopping') || board.read('told') ? undefined : assignment
  }

  #begin (assignment: ModelAssignment): void {
    const { clock, clients, period, leaseInterval, queue, log } = this.#options
    const ready = new Map<string, boolean>()
    const lease = new Lease({
      clock,
      claim: {
        resource: nodeResource,
        holder: replicaHolder(assignment.replica, assignment.generation),
        term: v7(),
        period
      },
      channel: new WireChannel(clients, assignment.members, assignment.revision, (member, answer) => {
        if (answer.answer.granted) ready.set(member, answer.ready)
        if (answer.leaving && answer.answer.granted) this.#close(tenure)
        this.#note()
      }),
      granters: assignment.members.map(each => each.id),
      quorum: 'all',
      interval: leaseInterval,
      listener: {
        lapsed: missing => {
          log.write('replica-lapsed', { replica: assignment.replica, generation: assignment.generation, missing: missing.join(',') })
          this.#note()
        },
        refused: (member, answer) => log.write('grant-refused', { member, reason: answer.granted ? '' : answer.reason })
      }
    })
    const tenure: Tenure = { assignment, lease, ready, missingSince: new Map(), draining: false }
    this.#tenure = tenure
    queue.open()
    lease.start()
  }

  async #drain (tenure: Tenure): Promise<void> {
    this.#close(tenure)
    if (this.#options.queue.running > 0 && tenure.lease.valid) return
    this.#tenure = undefined
    if (tenure.lease.valid) await this.#options.hand(tenure.assignment)
    await tenure.lease.release()
  }

  #close (tenure: Tenure): void {
    if (tenure.draining) return
    tenure.draining = true
    this.#options.queue.close('leaving')
    this.#note()
  }

  /** Writes to the board which members have been missing for longer than a granter that restarts needs. */
  #watch (): void {
    const { clock, board, period } = this.#options
    const tenure = this.#tenure
    const now = clock.now()
    const absent = new Set(tenure?.lease.missing)
    for (const id of tenure?.missingSince.keys() ?? []) if (!absent.has(id)) tenure?.missingSince.delete(id)
    for (const id of absent) if (tenure?.missingSince.has(id) === false) tenure.missingSince.set(id, now)
    const long = [...absent].filter(id => now - (tenure?.missingSince.get(id) ?? now) > missingPeriods * period)
    if (long.join() !== board.read('missing').join()) board.write('missing', long)
  }

  /** Writes whether this head serves to the board, and tells it when that has changed. */
  #note (): void {
    const { board, log, metric, queue, cut } = this.#options
    if (!this.allowed) cut()
    const serving = this.serving
    if (board.read('serving') === serving) return
    board.write('serving', serving)
    metric.gauge('replica.serving', Number(serving))
    const assignment = this.#tenure?.assignment
    if (serving) log.write('replica-serving', { replica: assignment?.replica, generation: assignment?.generation })
    if (serving) queue.open()
    else queue.close(this.#tenure?.draining === true ? 'leaving' : 'not-serving')
  }

  #ready ({ assignment, ready }: Tenure): boolean {
    return assignment.members.every(({ id }) => ready.get(id) === true)
  }
}

function same (present: ModelAssignment, wanted: ModelAssignment | undefined): boolean {
  return wanted !== undefined && present.replica === wanted.replica && present.generation === wanted.generation
}
