/**
 * The head of a replica: the worker that takes the requests for all members of the replica. It holds a grant of every
 * member while it serves. Owns the lease over all members; a request runs only while the lease is valid.
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

/**
 * A member is reported as missing after its grant has been missing for this many lease periods. A member that restarts
 * gives a grant again in less time.
 */
const missingThresholdPeriods = 3

/** What a head depends on. */
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
  /** Hands over a replica's sessions to other replicas at a planned stop. Takes a few seconds at most. */
  readonly handOverSessions: (assignment: ModelAssignment) => Promise<void>
  /** Cancels every request in flight. Called when requests may not continue. */
  readonly cancelInFlight: () => void
}

/** The time during which this worker is the head of one generation of a replica. */
interface Tenure {
  readonly assignment: ModelAssignment
  readonly lease: Lease
  /** Whether each member's engine was ready when the member last gave its grant. */
  readonly ready: Map<string, boolean>
  /** When each missing member's grant began to be missing, on `Clock.now`. */
  readonly missingSince: Map<string, number>
  /** Whether the head drains: it takes no new requests, and releases its grants after the last one has ended. */
  isDraining: boolean
}

/**
 * Runs the head's part of a model worker. It claims a grant of every member while the assignment makes this worker a
 * serving head. When the assignment changes or the worker has to leave or stop, it drains: it takes no new requests and
 * releases all grants after its last request has ended.
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

  /** Whether requests in flight may continue now: every member's grant is valid and every member's engine is ready. */
  get mayContinue (): boolean {
    const tenure = this.#tenure
    return tenure !== undefined && tenure.lease.valid && this.#ready(tenure)
  }

  /** Whether a new request may be taken now. */
  get isServing (): boolean {
    return this.mayContinue && this.#tenure?.isDraining === false
  }

  async update (): Promise<void> {
    const wanted = this.#wantedAssignment()
    const tenure = this.#tenure
    if (tenure === undefined) {
      if (wanted !== undefined) this.#startTenure(wanted)
    } else if (tenure.isDraining || !isSameGeneration(tenure.assignment, wanted)) {
      await this.#drain(tenure)
    }
    this.#publishMissing()
    this.#publishServing()
  }

  /** Releases every grant at once, even if requests are in flight. */
  async stop (): Promise<void> {
    const lease = this.#tenure?.lease
    this.#tenure = undefined
    await lease?.release()
  }

  #wantedAssignment (): ModelAssignment | undefined {
    const { board, worker } = this.#options
    const assignment = board.read('assignment')
    if (assignment?.kind !== 'model' || assignment.head !== worker || assignment.state !== 'serving') return undefined
    return board.read('stopping') || board.read('mustLeave') ? undefined : assignment
  }

  #startTenure (assignment: ModelAssignment): void {
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
        if (answer.leaving && answer.answer.granted) this.#startDraining(tenure)
        this.#publishServing()
      }),
      granters: assignment.members.map(each => each.id),
      quorum: 'all',
      interval: leaseInterval,
      listener: {
        lapsed: missing => {
          log.write('replica-lapsed', { replica: assignment.replica, generation: assignment.generation, missing: missing.join(',') })
          this.#publishServing()
        },
        refused: (member, answer) => log.write('grant-refused', { member, reason: answer.granted ? '' : answer.reason })
      }
    })
    const tenure: Tenure = { assignment, lease, ready, missingSince: new Map(), isDraining: false }
    this.#tenure = tenure
    queue.open()
    lease.start()
  }

  async #drain (tenure: Tenure): Promise<void> {
    this.#startDraining(tenure)
    if (this.#options.queue.running > 0 && tenure.lease.valid) return
    this.#tenure = undefined
    if (tenure.lease.valid) await this.#options.handOverSessions(tenure.assignment)
    await tenure.lease.release()
  }

  #startDraining (tenure: Tenure): void {
    if (tenure.isDraining) return
    tenure.isDraining = true
    this.#options.queue.close('leaving')
    this.#publishServing()
  }

  /** Writes to the board the members whose grant has been missing for longer than a restart takes. */
  #publishMissing (): void {
    const { clock, board, period } = this.#options
    const tenure = this.#tenure
    const now = clock.now()
    const missing = new Set(tenure?.lease.missing)
    for (const id of tenure?.missingSince.keys() ?? []) if (!missing.has(id)) tenure?.missingSince.delete(id)
    for (const id of missing) if (tenure?.missingSince.has(id) === false) tenure.missingSince.set(id, now)
    const missingTooLong = [...missing].filter(id => now - (tenure?.missingSince.get(id) ?? now) > missingThresholdPeriods * period)
    if (missingTooLong.join() !== board.read('missing').join()) board.write('missing', missingTooLong)
  }

  /**
   * Writes whether this head serves to the board and to the metric, and opens or closes the queue. Cancels all requests
   * in flight if they may not continue.
   */
  #publishServing (): void {
    const { board, log, metric, queue, cancelInFlight } = this.#options
    if (!this.mayContinue) cancelInFlight()
    const serving = this.isServing
    if (board.read('serving') === serving) return
    board.write('serving', serving)
    metric.gauge('replica.serving', Number(serving))
    const assignment = this.#tenure?.assignment
    if (serving) log.write('replica-serving', { replica: assignment?.replica, generation: assignment?.generation })
    if (serving) queue.open()
    else queue.close(this.#tenure?.isDraining === true ? 'leaving' : 'not-serving')
  }

  #ready ({ assignment, ready }: Tenure): boolean {
    return assignment.members.every(({ id }) => ready.get(id) === true)
  }
}

function isSameGeneration (present: ModelAssignment, wanted: ModelAssignment | undefined): boolean {
  return wanted !== undefined && present.replica === wanted.replica && present.generation === wanted.generation
}
