/**
 * The wait of one request for an upstream with free capacity. It ends when an upstream is found, its time has passed,
 * the request has ended, or the path needs no upstream any more. Owns the request's claim during the wait. Relies on
 * `Queue` for the order of the requests.
 */
import { type QueuedRequest } from '@eiderwind/dispatch'
import { type Claim } from '@eiderwind/limits'
import { type Context } from './context.js'
import { type CallerRequest } from './request.js'

/** Waits for upstreams, one after the other. */
export class UpstreamWait {
  readonly #context: Context
  readonly #request: CallerRequest
  #cancel: (() => void) | undefined

  constructor (context: Context, request: CallerRequest) {
    this.#context = context
    this.#request = request
  }

  /** Resolves with the result of `find` as soon as it is defined, or with undefined when the wait ends without one. */
  async run<Found> (queued: QueuedRequest, find: (claim: Claim | undefined) => Found | undefined): Promise<Found | undefined> {
    const request = this.#request
    const { availability, queue } = this.#context
    const claim = availability.claim(queued.priority, queued.until)
    let removeCancel: (() => void) | undefined
    const onWait = (cancel: () => void): void => {
      this.#cancel = cancel
      removeCancel = request.cancelWith(cancel)
    }
    const found = await queue.wait(queued, () => find(claim), { onWait, onShortage: shortage => { request.shortage = shortage } })
    this.#cancel = undefined
    removeCancel?.()
    availability.release(claim)
    return found
  }

  /** Ends the current wait without a result. */
  cancel (): void {
    this.#cancel?.()
  }
}
