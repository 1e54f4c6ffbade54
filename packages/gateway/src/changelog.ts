/**
 * The recent changes of this gateway's list of upstreams, for gateways that follow it. A follower names the store's
 * revision up to which it knows the list, whatever its source was, and gets the changes since then. If there are none,
 * the answer waits for the next change.
 * Owns the newest changes, in memory only. A follower that lacks more than the retained changes gets the whole list.
 * That is 150 kB at 380 engines: 33 followers that change their source must not all request it at once from a machine
 * whose link carries 40 Mbit/s.
 * Followers of older builds send no revision. They name the last change that they took by its number in this
 * incarnation of the process.
 */
import { type Clock } from '@eiderwind/clock'
import { type Roster, type RosterChange } from '@eiderwind/roster'
import { type GatewayBoard } from './facts.js'
import { type UpstreamChanges, type UpstreamsRequest } from './messages.js'

/** Dependencies of `ChangeLog`. */
export interface ChangeLogOptions {
  readonly clock: Clock
  readonly roster: Roster
  readonly board: GatewayBoard
  /** Identifies this incarnation of the process: its change numbers mean nothing to another one. */
  readonly incarnation: string
  /**
   * How long an answer waits for a change, in ms. Each answer shows the follower that this gateway is live and how
   * recent its list is.
   */
  readonly maxWait: number
}

/**
 * Number of retained changes. They span many seconds, so that only a follower that was unreachable gets the whole list.
 */
const maxChanges = 500

interface NumberedChange {
  readonly number: number
  /** The store's revision that includes this change; undefined while it is unknown. */
  revision: number | undefined
  readonly change: RosterChange
}

/** The newest changes of the list of upstreams. */
export class ChangeLog {
  readonly #options: ChangeLogOptions
  #changes: NumberedChange[] = []
  /** Number of the newest change. */
  #newest = 0
  /** All changes after this revision are retained; undefined before the list has a revision. */
  #retainedSince: number | undefined
  readonly #waiters = new Set<() => void>()

  constructor (options: ChangeLogOptions) {
    this.#options = options
    options.roster.listen(changes => this.#add(changes))
    options.board.listen('upstreamsRevision', revision => this.#assignRevision(revision))
  }

  /**
   * The changes that a follower lacks, as soon as there are any. The list is empty if none happens within the wait, or
   * at once if the follower does not wait.
   */
  async after (request: UpstreamsRequest): Promise<UpstreamChanges> {
    if (request.wait !== false && this.#changesFor(request)?.length === 0) await this.#nextChange()
    const changes = this.#changesFor(request)
    const { roster, incarnation } = this.#options
    const common = { life: incarnation, newest: this.#newest, revision: this.#revision }
    return changes === undefined ? { ...common, upstreams: roster.upstreams } : { ...common, changes: changes.map(each => each.change) }
  }

  /**
   * The store's revision up to which answers are complete. It is undefined while answers still list upstreams whose
   * records lapsed in an outage. The store reports only once that such records are gone, so a follower that continued
   * from a later revision would keep upstreams that have ended.
   */
  get #revision (): number | undefined {
    const { roster, board } = this.#options
    return roster.lapsed.size === 0 ? board.read('upstreamsRevision') : undefined
  }

  /** The changes that a follower lacks; undefined if it lacks more than are retained. */
  #changesFor ({ life, after, revision }: UpstreamsRequest): NumberedChange[] | undefined {
    if (revision !== undefined && this.#retainedSince !== undefined && revision >= this.#retainedSince) {
      return this.#changes.filter(each => each.revision === undefined || each.revision > revision)
    }
    if (life !== this.#options.incarnation || after > this.#newest || this.#newest - after > this.#changes.length) return undefined
    return this.#changes.filter(each => each.number > after)
  }

  #add (changes: readonly RosterChange[]): void {
    const numbered = changes.map(change => ({ number: ++this.#newest, revision: undefined, change }))
    const all = [...this.#changes, ...numbered]
    const dropped = all.slice(0, -maxChanges).at(-1)
    this.#changes = all.slice(-maxChanges)
    if (dropped !== undefined) this.#retainedSince = dropped.revision
    for (const wake of [...this.#waiters]) wake()
  }

  /** Records that the list is known up to a revision: changes without a revision are included in it. */
  #assignRevision (revision: number | undefined): void {
    for (const each of this.#changes) each.revision ??= revision
    this.#retainedSince ??= revision
  }

  #nextChange (): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        timer.cancel()
        this.#waiters.delete(wake)
        resolve()
      }
      const timer = this.#options.clock.after(this.#options.maxWait, wake)
      this.#waiters.add(wake)
    })
  }
}
