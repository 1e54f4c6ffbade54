/**
 * Decides whether a home may use the book that another home handed over. All functions are pure. They rely on the marks
 * of the granters (`@eiderwind/lease`), which show whether another home held the slot in between.
 */
import { type Mark } from '@eiderwind/lease'
import { type Handover } from '@eiderwind/schema'

/** A book that was handed over to this worker, which waits for the lease of the slot. */
export interface Inheritance {
  readonly handover: Handover
  /** When the book expires, on `Clock.now`. */
  readonly until: number
}

/**
 * Whether a home directly succeeds the home that handed over a book, and may therefore use the book. This is so if a
 * majority of the same voters gave the two homes consecutive turns. Any home in between would have had a majority too,
 * and so a turn of at least one of these voters.
 *
 * @param marks the marks that the voters gave the successor
 * @param voters the voters of the successor
 */
export function isDirectSuccessor (handover: Handover, marks: ReadonlyMap<string, Mark>, voters: readonly string[]): boolean {
  if (!sameVoters(handover.voters, voters)) return false
  const following = handover.marks.filter(({ voter, mark }) => {
    const newMark = marks.get(voter)
    return newMark !== undefined && newMark.origin === mark.origin && newMark.turn === mark.turn + 1
  })
  return following.length > voters.length / 2
}

/** Whether two lists contain the same voters. */
export function sameVoters (some: readonly string[], others: readonly string[]): boolean {
  return [...some].sort().join() === [...others].sort().join()
}
