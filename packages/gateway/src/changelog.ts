/**
 * The changes of this gateway's list of upstreams, for gateways that take them from here. An asker says up to which of the store's
 * revisions it knows the list, whoever told it, and gets what changed since; it waits until there is something. Owns the newest changes, in
 * memory only. One that knows less than is kept gets the whole list: 150 kB at 380 engines, which 33 followers that change their source
 * must not ask for at once of a machine whose link carries 40 Mbit/s.
 * Askers of builds that do not say a revision name the last change that they took, by its number in this life of the process.
 */
import { type Clock } from '@eiderwind/clock'
import { type Roster, type RosterChange } from '@eiderwind/roster'
import { type GatewayBoard } from './facts.js'
import { type UpstreamChanges, type UpstreamsAsked } from './messages.js'

/** Dependencies of `ChangeLog`. */
export interface ChangeLogOptions {
  readonly clock: Clock
  readonly roster: Roster
  readonly board: GatewayBoard
  /** Names the life of this process among all: numbers of changes mean nothing to another one. */
  readonly life: string
  /** How long an asker waits for a change, in ms. It learns by each answer that this gateway lives, and how young its list is. */
  readonly wait: number
}

/** Changes that are kept: those of many seconds, so that only an asker that was away gets the whole list. */
const kept = 500

interface NumberedChange {
  readonly number: number
  /** The store's revision by which it had happened; undefined while that is not known. */
  revision: number | undefined
  readonly change: RosterChange
}

/** The newest changes of the list of upstreams. */
export class ChangeLog {
  readonly #options: ChangeLogOptions
  #changes: NumberedChange[] = []
  /** Number of the newest change. */
  #newest = 0
  /** All changes after this revision are kept; undefined before the list had one. */
  #keptSince: number | undefined
  readonly #waiting = new Set<() => void>()

  constructor (options: ChangeLogOptions) {
    this.#options = options
    options.roster.listen(changes => this.#add(changes))
    options.board.listen('upstreamsRevision', revision => this.#mark(revision))
  }

  /** The changes after those that an asker has, as soon as there are any; none after a while. */
  async after (asked: UpstreamsAsked): Promise<UpstreamChanges> {
    if (this.#since(asked)?.length === 0) await this.#change()
    const changes = this.#since(asked)
    const { roster, life } = this.#options
    const common = { life, newest: this.#newest, revision: this.#revision }
    return changes === undefined ? { ...common, upstreams: roster.upstreams } : { ...common, changes: changes.map(each => each.change) }
  }

  /**
   * The store's revision up to which all is told here; undefined while records that lapsed in an outage are told as if they were listed. The store says only once that they
   * went, so an asker that goes on by itself behind that would keep those that have ended.
   */
  get #revision (): number | undefined {
    const { roster, board } = this.#options
    return roster.lapsed.size === 0 ? board.read('upstreamsRevision') : undefined
  }

  /** The changes that an asker lacks, or undefined where more are lacking than are kept. */
  #since ({ life, after, revision }: UpstreamsAsked): NumberedChange[] | undefined {
    if (revision !== undefined && this.#keptSince !== undefined && revision >= this.#keptSince) {
      return this.#changes.filter(each => each.revision === undefined || each.revision > revision)
    }
    if (life !== this.#options.life || after > this.#newest || this.#newest - after > this.#changes.length) return undefined
    return this.#changes.filter(each => each.number > after)
  }

  #add (changes: readonly RosterChange[]): void {
    const numbered = changes.map(change => ({ number: ++this.#newest, revision: undefined, change }))
    const all = [...this.#changes, ...numbered]
    const dropped = all.slice(0, -kept).at(-1)
    this.#changes = all.slice(-kept)
    if (dropped !== undefined) this.#keptSince = dropped.revision
    for (const wake of [...this.#waiting]) wake()
  }

  /** Takes that the list is known up to a revision: so are the changes that had none yet. */
  #mark (revision: number | undefined): void {
    for (const each of this.#changes) each.revision ??= revision
    this.#keptSince ??= revision
  }

  #change (): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        timer.cancel()
        this.#waiting.delete(wake)
        resolve()
      }
      const timer = this.#options.clock.after(this.#options.wait, wake)
      this.#waiting.add(wake)
    })
  }
}
