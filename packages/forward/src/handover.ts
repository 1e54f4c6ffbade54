/**
 * Which attempt of a moving stream goes on. A stream that moves keeps its attempt until the next one has sent an event:
 * the silence of an upstream may end, and the next attempt may fail. Whichever of the two sends the next event first
 * goes on, and the other one is cancelled. If one fails, the other one goes on.
 *
 * Owns which of the attempts are under way. Pure; relies on its callers to report what the attempts do.
 */
import { type AttemptResult } from '@eiderwind/dispatch'

/** Lowest HTTP status of an answer that reports an error (RFC 9110, section 15.5). */
const clientError = 400

/**
 * Whether the result of an attempt is the whole answer to its stream, so that no other attempt is needed.
 * @param started whether a part of the answer was sent to the caller
 */
export function isWholeAnswer (result: AttemptResult, started: boolean): boolean {
  return result.kind === 'passed' || (result.kind === 'answered' && result.status < clientError && !started)
}

/** An attempt that may have to go on beside another one. */
export interface Contender {
  /** Id of its upstream, for the reasons in the log. */
  readonly upstream: { readonly id: string }
  /** Ends it because the other one goes on. */
  cancel (why: string): void
  /** Keeps back what it sends until `release`. */
  hold (): void
  release (): void
}

/** The attempts of one stream: the current one, and the one that is kept while the stream moves. */
export class Handover<Item extends Contender> {
  readonly #onFallback: () => void
  #current: Item | undefined
  #kept: Item | undefined
  #isKeptChosen = false
  /** Whether the stream moves although the upstream of the kept attempt works. */
  #isPlanned = false

  /** @param onFallback called when the kept attempt goes on, so that no further one is started */
  constructor (onFallback: () => void) {
    this.#onFallback = onFallback
  }

  /** Whether the kept attempt goes on. `takeKept` is due. */
  get isKeptChosen (): boolean {
    return this.#isKeptChosen
  }

  /**
   * Records that an attempt is being started. An upstream that works would always be the first to send the next event,
   * so its attempt is held from now on.
   */
  begin (item: Item): void {
    this.#current = item
    if (this.#isPlanned) this.#kept?.hold()
  }

  /**
   * Whether an attempt may be kept while its stream moves. One that is kept already moves no further, and the silence of
   * the next one is no reason to give up the first.
   * @param isPlanned whether the stream moves although its upstream works
   */
  mayMove (item: Item, isPlanned: boolean): boolean {
    return item === this.#current && (isPlanned || this.#kept === undefined)
  }

  /**
   * Keeps the current attempt while its stream moves. An attempt that was kept before has sent nothing since an earlier
   * move, so it is cancelled.
   * @param isPlanned whether the stream moves although its upstream works: its events decide nothing
   */
  keep (item: Item, isPlanned: boolean): void {
    const earlier = this.#kept
    this.#kept = item
    this.#current = undefined
    this.#isPlanned = isPlanned
    earlier?.cancel('the stream moved once more')
  }

  /** Records that an attempt sends the head of its answer or its next event to the caller now. */
  sent (item: Item): void {
    if (item === this.#current) this.#cancelKept(item)
    else if (item === this.#kept && !this.#isPlanned) this.#continueKept(item)
  }

  /**
   * Records that an attempt has ended. Returns whether it was the kept one and is no longer needed.
   * @param isWhole whether its result is the whole answer
   */
  ended (item: Item, isWhole: boolean): boolean {
    if (item === this.#kept) {
      if (isWhole) this.#continueKept(item)
      if (this.#isKeptChosen) return false
      this.#kept = undefined
      return true
    }
    if (item !== this.#current) return true
    this.#current = undefined
    if (isWhole) this.#cancelKept(item)
    return false
  }

  /** The kept attempt becomes the current one, since there is no other. Undefined if none is kept. */
  takeKept (): Item | undefined {
    const item = this.#kept
    this.#kept = undefined
    this.#isKeptChosen = false
    this.#current = item
    item?.release()
    return item
  }

  /** @param chosen the attempt that goes on */
  #cancelKept (chosen: Item): void {
    const kept = this.#kept
    if (kept === undefined) return
    // Cleared first: the end of the kept attempt is reported while it is cancelled.
    this.#kept = undefined
    kept.cancel(`${chosen.upstream.id} went on`)
  }

  /** @param chosen the kept attempt */
  #continueKept (chosen: Item): void {
    if (this.#isKeptChosen) return
    this.#isKeptChosen = true
    this.#current?.cancel(`${chosen.upstream.id} went on`)
    this.#onFallback()
  }
}
