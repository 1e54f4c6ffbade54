/**
 * Determines which upstreams are cold. An upstream reports its remaining cold time in its record and in its answers.
 * The record is read again each time it changes. A record that no longer gives a remaining cold time ends the cold
 * state. An upstream that this gateway lists for the first time after its first list has started during traffic. It is
 * cold for at least `startTime`, even if its record does not say so yet.
 * Owns the remaining cold time in the last record of each upstream, by the id of the upstream's incarnation.
 */
import { type ColdUpstreams } from '@eiderwind/limits'
import { type Roster, type RosterChange, type Upstream } from '@eiderwind/roster'

/** Dependencies of `ColdStarts`. */
export interface ColdStartsOptions {
  readonly roster: Roster
  readonly cold: ColdUpstreams
  /** How long an upstream of a service is cold after its start, in ms; 0 if unknown. */
  readonly startTime: (service: string) => number
  /** Called with the upstreams that have just become cold. */
  readonly began: (ids: readonly string[]) => void
}

/** Determines which upstreams are cold. */
export class ColdStarts {
  readonly #options: ColdStartsOptions
  /** Remaining cold time in the last record of each upstream, in ms; 0 if the record did not give one. */
  readonly #lastRemaining = new Map<string, number>()
  #hasList = false

  constructor (options: ColdStartsOptions) {
    this.#options = options
    options.roster.listen(changes => this.#applyChanges(changes))
  }

  /** Takes the remaining cold time from an upstream's answer, in ms. */
  answered (id: string, remaining: number): void {
    const { cold, began } = this.#options
    if (cold.recordAnswer(id, remaining)) began([id])
  }

  /** Removes the upstreams that the roster no longer knows. */
  forget (): void {
    for (const id of this.#lastRemaining.keys()) if (!this.#options.roster.isKnown(id)) this.#lastRemaining.delete(id)
  }

  /**
   * Reads the records. Upstreams in the first list were running before this gateway started, so they count as cold only
   * if their records say so.
   */
  #applyChanges (changes: readonly RosterChange[]): void {
    const { cold, began } = this.#options
    const isFirst = !this.#hasList
    this.#hasList = true
    const upstreams = changes.flatMap(each => 'upstream' in each ? [each.upstream] : [])
    const begun = upstreams.filter(each => cold.recordAnswer(each.id, this.#remaining(each, isFirst)))
    if (begun.length > 0) began(begun.map(each => each.id))
  }

  /** How much longer an upstream is cold by its record, in ms. */
  #remaining ({ id, service, cold: reported = 0 }: Upstream, isFirst: boolean): number {
    const { cold, startTime } = this.#options
    const before = this.#lastRemaining.get(id)
    this.#lastRemaining.set(id, reported)
    if (before === undefined) return isFirst ? reported : Math.max(reported, startTime(service))
    if (reported === 0 && before > 0) cold.end(id)
    // Another field of the record may have changed: the worker writes the remaining time anew with every change.
    return reported
  }
}
