/**
 * When this gateway itself reads that an upstream is cold: in its record, each time that says something new of it; in an answer; and at its first listing, since one that starts during
 * traffic is cold whether or not its record says so yet. A record that said it and says it no longer ends it. Owns what the records said last, by the identity of an upstream's life.
 */
import { type ColdUpstreams } from '@eiderwind/limits'
import { type Roster, type RosterChange, type Upstream } from '@eiderwind/roster'

/** Dependencies of `ColdStarts`. */
export interface ColdStartsOptions {
  readonly roster: Roster
  readonly cold: ColdUpstreams
  /** How long an upstream of a service is cold after its start, in ms; 0 where that is not known. */
  readonly startTime: (service: string) => number
  /** Called with the upstreams that are cold now and were not before. */
  readonly began: (ids: readonly string[]) => void
}

/** Reads which upstreams are cold. */
export class ColdStarts {
  readonly #options: ColdStartsOptions
  /** Time left by the last record of each upstream; 0 where that did not say that it is cold. */
  readonly #said = new Map<string, number>()
  #hasList = false

  constructor (options: ColdStartsOptions) {
    this.#options = options
    options.roster.listen(changes => this.#take(changes))
  }

  /** Takes that an upstream is cold by an answer of its own. */
  answered (id: string, remaining: number): void {
    const { cold, began } = this.#options
    if (cold.read(id, remaining)) began([id])
  }

  /** Forgets the upstreams that are not remembered any more. */
  forget (): void {
    for (const id of this.#said.keys()) if (!this.#options.roster.remembers(id)) this.#said.delete(id)
  }

  /** What a gateway finds when it starts has not started just now, as far as it does not say so. */
  #take (changes: readonly RosterChange[]): void {
    const { cold, began } = this.#options
    const isFirst = !this.#hasList
    this.#hasList = true
    const upstreams = changes.flatMap(each => 'upstream' in each ? [each.upstream] : [])
    const begun = upstreams.filter(each => cold.read(each.id, this.#remaining(each, isFirst)))
    if (begun.length > 0) began(begun.map(each => each.id))
  }

  /** How much longer an upstream is cold by its record, in ms. */
  #remaining ({ id, service, cold: says = 0 }: Upstream, isFirst: boolean): number {
    const { cold, startTime } = this.#options
    const before = this.#said.get(id)
    this.#said.set(id, says)
    if (before === undefined) return isFirst ? says : Math.max(says, startTime(service))
    if (says === 0 && before > 0) cold.end(id)
    // Another field of the record may have changed; the worker writes the time left anew with each.
    return says
  }
}
