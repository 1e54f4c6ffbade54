/**
 * Decides how many streams move away from upstreams that must be empty within a time. Streams may first end by
 * themselves. The others move in equal parts over the remaining time, so that their new upstreams keep room for new
 * requests. Pure. `mayMove` in `retry.ts` decides whether a single stream may move.
 */

/**
 * Share of the time in which no stream moves. Most streams end within it, and each moved stream costs the processing of
 * its prompt once more.
 */
const endingShare = 0.5

/** Inputs of `streamsToMove`. Times are in ms. */
export interface MovingInputs {
  /** Requests that still run at these upstreams. */
  readonly running: number
  /** Time since the decision to empty the upstreams. */
  readonly time: number
  /** Time within which the upstreams must be empty. */
  readonly span: number
  /** Time until the next call. */
  readonly interval: number
}

/** The number of streams that move now: equal parts of the running ones at each remaining call. */
export function streamsToMove ({ running, time, span, interval }: MovingInputs): number {
  if (time < span * endingShare) return 0
  const remainingCalls = Math.max(1, Math.ceil((span - time) / interval))
  return Math.ceil(running / remainingCalls)
}
