/**
 * One attempt of a stream as its path sees it: the path waits until it ends or its stream moves. A stream that moves
 * keeps the run, and may return to it. Relies on `StreamAttempt` to report the end.
 */
import { type AttemptResult } from '@eiderwind/dispatch'
import { type Upstream } from '@eiderwind/roster'
import { type Contender } from './handover.js'
import { StreamAttempt, type StreamAttemptOptions } from './streamattempt.js'

/** The end of an attempt, or that its request moves to another upstream while the attempt is kept. */
export type Outcome = AttemptResult | 'moving'

/** An attempt to which a path may return. */
export interface KeptRun {
  readonly upstream: Upstream
  /** That its stream was moved and why, for the log. Undefined if it was not. */
  readonly note?: string | undefined
  /** Resolves when the attempt has ended or its request moves. */
  next (): Promise<Outcome>
}

/** An attempt of a stream. */
export class Run implements Contender, KeptRun {
  readonly upstream: Upstream
  readonly #attempt: StreamAttempt
  #onOutcome: ((outcome: Outcome) => void) | undefined
  #result: AttemptResult | undefined
  #movedFor: string | undefined
  #isBack = false

  constructor (options: StreamAttemptOptions) {
    this.upstream = options.upstream
    this.#attempt = new StreamAttempt({ ...options, onEnd: result => this.#end(result, options.onEnd) })
  }

  get note (): string | undefined {
    return this.#movedFor === undefined ? undefined : `${this.#isBack ? 'went on after a move' : 'moving'}: ${this.#movedFor}`
  }

  start (): void {
    this.#attempt.start()
  }

  next (): Promise<Outcome> {
    if (this.#result !== undefined) return Promise.resolve(this.#result)
    return new Promise(resolve => { this.#onOutcome = resolve })
  }

  /** Reports that the stream moves. The attempt goes on. @param why the reason, for the log */
  move (why: string): void {
    this.#movedFor = why
    this.#isBack = false
    this.#attempt.leaveTrial()
    this.#settle('moving')
  }

  cancel (why: string): void {
    this.#attempt.cancel(why)
  }

  hold (): void {
    this.#attempt.hold()
  }

  release (): void {
    this.#isBack = true
    this.#attempt.release()
  }

  #end (result: AttemptResult, onEnd: (result: AttemptResult) => void): void {
    this.#result = result
    onEnd(result)
    this.#settle(result)
  }

  #settle (outcome: Outcome): void {
    const onOutcome = this.#onOutcome
    this.#onOutcome = undefined
    onOutcome?.(outcome)
  }
}
