/** Blocks the event loop in a chosen phase, for tests of what has arrived when a delayed loop goes on. */
import { stat } from 'node:fs'

/** The phases of the event loop in which code of this process can run for long. */
export const loopPhases = ['timers', 'poll', 'check'] as const

export type LoopPhase = typeof loopPhases[number]

/** Blocks this thread for `span` ms. */
export function block (span: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, span)
}

/** Blocks the event loop for `span` ms once it next reaches the phase. */
export function blockLoop (phase: LoopPhase, span: number): void {
  const run = (): void => block(span)
  if (phase === 'timers') setTimeout(run, 0)
  else if (phase === 'poll') stat('.', run)
  else setImmediate(run)
}
