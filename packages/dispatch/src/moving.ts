/**
 * How streams leave upstreams that are to be emptied within a time: those that end soon are left to end, the others are spread over what remains, so that the upstreams to
 * which they go have room for new requests too. Pure. Whether a single stream may move is `mayMove`.
 */

/** Part of the time in which streams are left to end by themselves: most run for less, and each that moves has its prompt read again. */
const endingShare = 0.5

/** What the number of streams that move now depends on. Times are in ms. */
export interface MovingInputs {
  /** Requests that still run there. */
  readonly running: number
  /** Time since it was decided that they leave, and the time within which they should have left. */
  readonly time: number
  readonly span: number
  /** Time until this is asked again. */
  readonly interval: number
}

/** How many streams should move now: equal parts of those that still run at each time until the end. */
export function streamsToMove ({ running, time, span, interval }: MovingInputs): number {
  if (time < span * endingShare) return 0
  const times = Math.max(1, Math.ceil((span - time) / interval))
  return Math.ceil(running / times)
}
