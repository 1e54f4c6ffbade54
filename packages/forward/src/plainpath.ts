/**
 * Serves a request whose route is no stream, at a plain or a model service. The answer is collected and then sent as a
 * whole, so another upstream can be tried until the first byte is sent. The steps are those of `Path`.
 */
import { preferredResult, type AttemptResult } from '@eiderwind/dispatch'
import { type Upstream } from '@eiderwind/roster'
import { CollectAttempt } from './attempt.js'
import { type Context } from './context.js'
import { Path } from './path.js'
import { type CallerRequest } from './request.js'
import { targetOf, type RequestedModel } from './target.js'

/** Serves a request whose answer is sent as a whole. */
export class PlainPath extends Path {
  protected readonly kind = 'plain'
  protected readonly lastEvent = undefined

  constructor (context: Context, request: CallerRequest, requested: RequestedModel) {
    super(context, request, targetOf(context, request, requested))
  }

  protected attempt (upstream: Upstream): Promise<AttemptResult> {
    const { context, request, target, trial } = this
    const { clock } = context
    const { model } = target
    const startedAt = clock.now()
    return new Promise(resolve => {
      const onEnd = (result: AttemptResult): void => {
        if (!this.wasHeld) target.observe(upstream, result, clock.now() - startedAt)
        resolve(result)
      }
      // An idle connection may break just when a request is sent on it. The gateway could then not tell whether the
      // request ran.
      const newConnection = !request.repeatable
      new CollectAttempt({ context, request, upstream, model, newConnection, trial, mayBegin: () => this.mayBegin(), onEnd }).start()
    })
  }

  protected prefer (before: AttemptResult | undefined, latest: AttemptResult): AttemptResult {
    return preferredResult(before, latest)
  }
}
