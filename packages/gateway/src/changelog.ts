/**
 * The changes of this gateway's list of upstreams, for gateways that cannot reach the store and take them from here. Each
 * change has a number; an asker says the last one that it has, and waits until there are later ones. Owns the newest changes, in
 * memory only. One that asks for more than is kept, or for those of an earlier life of this process, gets the whole list.
 */
import { type Clock } from '@eiderwind/clock'
import { type Roster, type RosterChange } from '@eiderwind/roster'
import { type UpstreamChanges, type UpstreamsAsked } from './messages.js'

/** Dependencies of `ChangeLog`. */
export interface ChangeLogOptions {
  readonly clock: Clock
  readonly roster: Roster
  /** Names the life of this process among all: numbers of changes mean nothing to another one. */
  readonly life: string
  /** How long an asker waits for a change, in ms. It learns by each answer that this gateway lives, and how young its list is. */
  readonly wait: number
}

/** Changes that are kept: those of many seconds, so that only an asker that was away gets the whole list. Chosen, not measured. */
const kept = 500

/** The newest changes of the list of upstreams. */
export class ChangeLog {
  readonly #options: ChangeLogOptions
  #changes: RosterChange[] = []
  /** Number of the newest change. */
  #newest = 0
  readonly #waiting = new Set<() => void>()

  constructor (options: ChangeLogOptions) {
    this.#options = options
    options.roster.listen(changes => this.#add(changes))
  }

  /** The changes after those that an asker has, as soon as there are any; none after a while. */
  async after ({ life, after }: UpstreamsAsked): Promise<UpstreamChanges> {
    if (!this.#has(life, after)) return this.#all
    if (after === this.#newest) await this.#change()
    if (!this.#has(life, after)) return this.#all
    return { life, newest: this.#newest, changes: this.#changes.slice(this.#changes.length - (this.#newest - after)) }
  }

  get #all (): UpstreamChanges {
    const { roster, life } = this.#options
    return { life, newest: this.#newest, upstreams: roster.upstreams }
  }

  #has (life: string, after: number): boolean {
    return life === this.#options.life && after <= this.#newest && this.#newest - after <= this.#changes.length
  }

  #add (changes: readonly RosterChange[]): void {
    this.#changes = [...this.#changes, ...changes].slice(-kept)
    this.#newest += changes.length
    for (const wake of [...this.#waiting]) wake()
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
