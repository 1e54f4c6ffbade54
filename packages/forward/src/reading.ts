/**
 * Flow control of the answer to one attempt. The answer is read while there is no reason to pause. This module owns the
 * reasons and relies on `Flow` to stop the connection.
 */
import { type Flow } from '@eiderwind/wire'

/** Why an answer is not read: its caller does not read, or its stream is being moved to another upstream. */
export type PauseReason = 'caller' | 'move'

/** Reads an answer, or pauses. */
export class Reading {
  readonly #reasons = new Set<PauseReason>()
  #flow: Flow | undefined

  /** Sets the flow of the answer once its head has arrived. */
  attach (flow: Flow): void {
    this.#flow = flow
    if (this.#reasons.size > 0) flow.pause()
  }

  pause (reason: PauseReason): void {
    this.#reasons.add(reason)
    this.#flow?.pause()
  }

  /**
   * Removes a reason. @param resumed called before reading continues if there is no reason left
   */
  resume (reason: PauseReason, resumed: () => void): void {
    if (!this.#reasons.delete(reason) || this.#reasons.size > 0) return
    resumed()
    this.#flow?.resume()
  }
}
