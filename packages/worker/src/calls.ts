/**
 * Answers the calls that heads, entries and other workers make to a worker: claims of its node and of its vote, the
 * fate of an attempt, and books of runs. Owns the newest revision of the list of voters that this process has seen.
 * Relies on `grants.ts` for the grants and on `run` for attempts and books.
 */
import { type Clock } from '@eiderwind/clock'
import { type Attempts } from '@eiderwind/run'
import { WorkerCalls, type ClaimAnswer, type ClaimMessage, type SettleAnswer, type SettleMessage } from '@eiderwind/wire'
import { type Handover } from '@eiderwind/schema'
import { type WorkerBoard } from './facts.js'
import { nodeResource, replicaHolder, type Grants } from './grants.js'

/** What `Calls` depends on. */
export interface CallsOptions {
  readonly clock: Clock
  readonly board: WorkerBoard
  readonly grants: Grants
  readonly attempts: Attempts
  readonly incarnation: string
  /** Takes over the book of runs of a slot. Returns false if this worker cannot use it. */
  readonly takeBook: (handover: Handover) => boolean
}

/** Answers claims of this worker's node and vote, and reports the fate of an attempt. */
export class Calls extends WorkerCalls {
  readonly #options: CallsOptions
  #newestVotersRevision = 0

  constructor (options: CallsOptions) {
    super()
    this.#options = options
  }

  async claim (message: ClaimMessage): Promise<ClaimAnswer> {
    const { grants } = this.#options
    const leaving = this.#isLeaving()
    // A node that leaves is granted only to the head that already holds it.
    const isNodeRefused = leaving && message.resource === nodeResource && grants.nodeHolder !== message.holder
    if (isNodeRefused || this.#isOutdated(message)) return { answer: { granted: false, reason: 'held', wait: 0 }, ready: false, leaving }
    const answer = grants.claim(message)
    return { answer, ready: this.#isReady(message), leaving }
  }

  async release (message: ClaimMessage): Promise<void> {
    this.#options.grants.release(message)
  }

  async settle ({ attempt, incarnation, age }: SettleMessage): Promise<SettleAnswer> {
    if (incarnation !== this.#options.incarnation) return 'stranger'
    return this.#options.attempts.settle(attempt, age, this.#options.clock.now())
  }

  async inherit (handover: Handover): Promise<boolean> {
    return !this.#isLeaving() && this.#options.takeBook(handover)
  }

  /**
   * Whether a claim of a home uses an older list of voters than the newest one that this voter has seen. Such a claim
   * is refused. Once a majority of the next list has seen that list, no majority of the outdated list can form.
   * A restarted voter has lost the revisions that it had seen, so it gives no vote until an entry has sent it a list.
   */
  #isOutdated ({ resource, revision }: ClaimMessage): boolean {
    if (resource === nodeResource) return false
    const assignment = this.#options.board.read('assignment')
    if (assignment?.kind !== 'plain') return true
    this.#newestVotersRevision = Math.max(this.#newestVotersRevision, revision, assignment.revision)
    return revision < this.#newestVotersRevision
  }

  #isLeaving (): boolean {
    return this.#options.board.read('stopping') || this.#options.board.read('mustLeave')
  }

  /**
   * Whether this node's engine can serve for the claiming head: it answers, and it has loaded the version and the
   * generation that the placement asks for. For a vote, whether the upstream is healthy.
   */
  #isReady ({ resource, holder }: ClaimMessage): boolean {
    const { board } = this.#options
    const { healthy, loaded } = board.read('upstream')
    if (resource !== nodeResource) return healthy
    const assignment = board.read('assignment')
    if (!healthy || loaded === undefined || assignment?.kind !== 'model') return false
    if (holder !== replicaHolder(assignment.replica, assignment.generation)) return this.#isLoadedFor(holder)
    return loaded.generation === assignment.generation && loaded.version === assignment.version
  }

  /**
   * Whether the engine still has the generation of the claiming head loaded. The node then counts as ready for the head
   * of an earlier generation, which can finish its requests although the placement has a later generation.
   */
  #isLoadedFor (holder: string): boolean {
    const loaded = this.#options.board.read('upstream').loaded
    return loaded !== undefined && holder.endsWith(`#${loaded.generation}`)
  }
}
