/**
 * Serves a request of a plain service: its answer is collected and then sent whole, so another upstream can still be
 * tried until the first byte goes out. The steps are those of `Path`.
 */
import { isSuccess, preferredResult, refusals, type AttemptResult } from '@eiderwind/dispatch'
import { type Fault } from '@eiderwind/fault'
import { type Upstream } from '@eiderwind/roster'
import { CollectAttempt } from './attempt.js'
import { Path } from './path.js'

/** Serves a request whose answer is sent whole. */
export class PlainPath extends Path {
  protected readonly kind = 'plain'
  protected readonly lastEvent = undefined

  protected get upstreams (): readonly Upstream[] {
    return this.context.roster.available(this.request.service)
  }

  protected choose (avoided: ReadonlySet<string>): Upstream | undefined {
    return this.context.choice.plain(this.request.service, avoided)
  }

  protected attempt (upstream: Upstream): Promise<AttemptResult> {
    const { context, request, trial } = this
    const { clock, choice, intake } = context
    const startedAt = clock.now()
    return new Promise(resolve => {
      const onEnd = (result: AttemptResult): void => {
        // One that asked for rest has said itself when it takes requests again: as a failure it would be left out for long after that.
        if (!intake.rests(upstream.id)) choice.observe(upstream.id, clock.now() - startedAt, !isSuccess(result))
        resolve(result)
      }
      // A kept connection may break just as a request is sent on it, which leaves open whether it ran.
      const newConnection = !request.repeatable
      new CollectAttempt({ context, request, upstream, model: '', newConnection, trial, onEnd }).start()
    })
  }

  protected prefer (before: AttemptResult | undefined, latest: AttemptResult): AttemptResult {
    return preferredResult(before, latest)
  }

  protected refusal (result: AttemptResult | undefined): Fault {
    const { service, id } = this.request
    const detail = result?.kind === 'not-run' ? `${result.why}.` : `No upstream of ${service} takes requests (${this.context.names.request} ${id}).`
    return refusals.upstreamDown(detail)
  }
}
