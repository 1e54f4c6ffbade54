/**
 * Decides whether a home may use the book that another home handed over, or its own book from before a lapse of its
 * lease. All functions are pure. They rely on the marks of the granters (`@eiderwind/lease`), which show whether another
 * home held the slot in between.
 */
import { type Mark } from '@eiderwind/lease'
import { type Handover } from '@eiderwind/schema'

/** A book that was handed over to this worker, which waits for the lease of the slot. */
export interface Inheritance {
  readonly handover: Handover
  /** When the book expires, on `Clock.now`. */
  readonly until: number
}

/** The marks that a home's lease has at one time, with the voters of the lease. */
export interface VoterMarks {
  readonly voters: readonly string[]
  readonly marks: ReadonlyMap<string, Mark>
}

/**
 * Whether a home directly succeeds the home that handed over a book, and may therefore use the book. This is so if a
 * majority of the same voters gave the two homes consecutive turns. Any home in between would have had a majority too,
 * and so a turn of at least one of these voters.
 *
 * @param successor the marks of the successor's current grants. The mark of an ended grant proves nothing: its voter
 * may have given another home a turn since.
 */
export function isDirectSuccessor (handover: Handover, successor: VoterMarks): boolean {
  const earlier = { voters: handover.voters, marks: new Map(handover.marks.map(({ voter, mark }) => [voter, mark])) }
  return isMajorityAhead(earlier, successor, 1)
}

/**
 * Whether a home whose lease lapsed and came back under the same term has held the slot throughout: a majority of the
 * same voters has granted no other term since.
 *
 * @param before the marks at the lapse
 * @param now the marks of the current grants
 */
export function hasHeldThroughout (before: VoterMarks, now: VoterMarks): boolean {
  return isMajorityAhead(before, now, 0)
}

/** Whether the turns of a majority of the same voters have advanced by exactly `turns`. */
function isMajorityAhead (earlier: VoterMarks, later: VoterMarks, turns: number): boolean {
  if (!sameVoters(earlier.voters, later.voters)) return false
  const fitting = later.voters.filter(voter => {
    const [before, after] = [earlier.marks.get(voter), later.marks.get(voter)]
    return before !== undefined && after !== undefined && after.origin === before.origin && after.turn === before.turn + turns
  })
  return isMajority(fitting, later.voters)
}

/** Whether some of the voters are a majority of all. */
export function isMajority (some: readonly string[], voters: readonly string[]): boolean {
  return some.length > voters.length / 2
}

/** Whether two lists contain the same voters. */
export function sameVoters (some: readonly string[], others: readonly string[]): boolean {
  return [...some].sort().join() === [...others].sort().join()
}
