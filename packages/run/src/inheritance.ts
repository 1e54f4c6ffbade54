/**
 * When a home of keys may use a book that another home handed to it. Pure functions; they rely on the marks of the granters
 * (`@eiderwind/lease`), which show whether anyone held the slot in between.
 */
import { type Mark } from '@eiderwind/lease'
import { type Handover } from '@eiderwind/schema'

/** A book that was handed over, until its slot is held. */
export interface Inheritance {
  readonly handover: Handover
  /** On `Clock.now`. */
  readonly until: number
}

/**
 * Whether a home may go by a book that was handed to it: a majority of the same voters gave it the turn right after the
 * one that they gave the home which handed the book over. A home in between would have had a majority too, and so a
 * turn of at least one of these voters.
 *
 * @param marks the mark that each voter has given the home that asks
 * @param voters the voters that it goes by
 */
export function follows (handover: Handover, marks: ReadonlyMap<string, Mark>, voters: readonly string[]): boolean {
  if (!sameVoters(handover.voters, voters)) return false
  const following = handover.marks.filter(({ voter, mark }) => {
    const now = marks.get(voter)
    return now !== undefined && now.origin === mark.origin && now.turn === mark.turn + 1
  })
  return following.length > voters.length / 2
}

/** Whether two lists name the same voters. */
export function sameVoters (some: readonly string[], others: readonly string[]): boolean {
  return [...some].sort().join() === [...others].sort().join()
}
