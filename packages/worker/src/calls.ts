/**
 * What a worker answers to heads, entries and other workers: claims of its node, votes, and what became of an attempt. Relies
 * on `grants.ts` for what was given.
 */
import { type Clock } from '@eiderwind/clock'
import { type Attempts } from '@eiderwind/run'
import { WorkerCalls, type ClaimAnswer, type ClaimMessage, type SettleAnswer, type SettleMessage } from '@eiderwind/wire'
import { type Handover } from '@eiderwind/schema'
import { type WorkerBoard } from './facts.js'
import { nodeResource, replicaHolder, type Grants } from './grants.js'

/** What the calls of a worker stand on. */
export interface CallsOptions {
  readonly clock: Clock
  readonly board: WorkerBoard
  readonly grants: Grants
  readonly attempts: Attempts
  readonly incarnation: string
  /** Takes the book of a slot of keys, and says whether it could. */
  readonly inherit: (handover: Handover) => boolean
}

/** The calls of a worker: claims of its node and its votes, and the fate of attempts. */
export class Calls extends WorkerCalls {
  readonly #options: CallsOptions
  #votersSeen = 0

  constructor (options: CallsOptions) {
    super()
    this.#options = options
  }

  async claim (message: ClaimMessage): Promise<ClaimAnswer> {
    const { grants } = this.#options
    const leaving = this.#leaving()
    const refused = leaving && message.resource === nodeResource && grants.node !== message.holder
    if (refused || this.#outdated(message)) return { answer: { granted: false, reason: 'held', wait: 0 }, ready: false, leaving }
    const answer = grants.claim(message)
    return { answer, ready: this.#ready(message), leaving }
  }

  async release (message: ClaimMessage): Promise<void> {
    this.#options.grants.release(message)
  }

  async settle ({ attempt, incarnation, age }: SettleMessage): Promise<SettleAnswer> {
    if (incarnation !== this.#options.incarnation) return 'stranger'
    return this.#options.attempts.settle(attempt, age, this.#options.clock.now())
  }

  async inherit (handover: Handover): Promise<boolean> {
    return !this.#leaving() && this.#options.inherit(handover)
  }

  /**
   * Whether a claim of a home goes by an older list of voters than this voter has ever heard of. Such a claim is
   * refused, so that a majority of an outdated list can no longer be found once a majority of the next one knows it.
   * A voter that has started has forgotten which lists it knew, so it gives no vote before an entry has told it one.
   */
  #outdated ({ resource, revision }: ClaimMessage): boolean {
    if (resource === nodeResource) return false
    const assignment = this.#options.board.read('assignment')
    if (assignment?.kind !== 'plain') return true
    this.#votersSeen = Math.max(this.#votersSeen, revision, assignment.revision)
    return revision < this.#votersSeen
  }

  #leaving (): boolean {
    return this.#options.board.read('stopping') || this.#options.board.read('told')
  }

  /** Whether this node's engine can do its part for the claiming head: it answers and has loaded what the placement says. */
  #ready ({ resource, holder }: ClaimMessage): boolean {
    const { board } = this.#options
    const { healthy, loaded } = board.read('upstream')
    if (resource !== nodeResource) return healthy
    const assignment = board.read('assignment')
    if (!healthy || loaded === undefined || assignment?.kind !== 'model') return false
    if (holder !== replicaHolder(assignment.replica, assignment.generation)) return this.#loadedFor(holder)
    return loaded.generation === assignment.generation && loaded.version === assignment.version
  }

  /** Whether the engine still is as it was for a head that the placement has moved on from, so that it can finish. */
  #loadedFor (holder: string): boolean {
    const loaded = this.#options.board.read('upstream').loaded
    return loaded !== undefined && holder.endsWith(`#${loaded.generation}`)
  }
}
