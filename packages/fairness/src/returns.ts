/**
 * When callers that are refused should come back. Some are promised a place: one after another, as fast as the part of the room that is kept for them comes free,
 * and no later than callers heed. The others are told a time that is longer than any promise, so that a return shows which of the two it is. Answers callers who
 * are refused together and would all come back together. Times are on `Clock.now`, in ms.
 */

/** Part of the room that is kept for callers who were promised a place. */
export const promisedPart = 0.03

/** Shortest time to come back after, in ms: some of the requests that run now will have ended by then. */
const leastReturn = 900

/** Part of the time that a caller has left up to which it heeds a time to come back, and the part told to those who are promised nothing. */
const heededPart = 1 / 3
const unpromisedPart = 1 / 2

/** By how much the returns of callers without a promise are later than those with one, at least, in ms: more than a wait for room and the ways there and back. */
const gap = 300

/** What callers were told. */
export class Returns {
  #last = -Infinity

  /**
   * After how long a caller should come back, in ms.
   * @param rate places that are taken a second, at least; 0 where that is not known, so that nothing can be promised
   * @param timeLeft of the caller, in ms
   */
  tell (rate: number, timeLeft: number, now: number): number {
    if (rate <= 0) return leastReturn
    const time = Math.max(now + leastReturn, this.#last + 1000 / (rate * promisedPart))
    if (time - now > longestPromise(timeLeft)) return Math.max(leastReturn, timeLeft * unpromisedPart)
    this.#last = time
    return time - now
  }
}

/**
 * Whether a caller that has spent so much of its time was promised a place when it was refused, as far as that shows: it came after the shortest time that is told and before those who
 * were promised nothing. @param patience all of its time, in ms
 */
export function isPromised (spent: number, patience: number): boolean {
  return spent >= leastReturn && spent < patience * heededPart
}

/** @param timeLeft of the caller, in ms */
function longestPromise (timeLeft: number): number {
  return timeLeft * heededPart - gap
}
