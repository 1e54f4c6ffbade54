import { Fault } from '@eiderwind/fault'
import { type Engine } from '@eiderwind/traffic'
import { type Upstream } from '@eiderwind/roster'
import { type Ending } from './attempt.js'
import { type Context } from './context.js'
import { type CallerRequest } from './request.js'
import { passOn, patience } from './plain.js'
import { Progress, StreamAttempt } from './streaming.js'

/** Seconds after which coming back helps: where no replica serves, and where those that do are full. */
const replicaTime = 1.8
const roomTime = 0.9

/** Longest wait for another replica in the middle of a stream, in ms: callers leave after two seconds of silence. */
const resumeTime = 1500

/** What chooses where a stream goes. */
interface Target {
  readonly model: string
  readonly engine: Engine | undefined
}

/** Serves a stream: from one upstream, and from another one on where it breaks off and may go on. */
export class StreamPath {
  readonly #context: Context
  readonly #exchange: CallerRequest
  readonly #target: Target
  readonly #progress = new Progress()
  #sends = 0

  constructor (context: Context, exchange: CallerRequest, target: Target) {
    this.#context = context
    this.#exchange = exchange
    this.#target = target
    const given = Number(exchange.request.headers['last-event-id'] ?? NaN)
    if (Number.isFinite(given)) this.#progress.lastEvent = given
  }

  async serve (): Promise<void> {
    const exchange = this.#exchange
    let ending: Ending | undefined
    do {
      const upstream = await this.#find()
      if (exchange.over || upstream === undefined) break
      ending = await this.#attempt(upstream)
      if (exchange.over) return
      exchange.tell(upstream.id, ending, this.#progress.lastEvent)
    } while (again(this.#context, exchange, ending))
    if (!exchange.over) this.#conclude(ending)
  }

  #find (): Promise<Upstream | undefined> {
    const exchange = this.#exchange
    const time = this.#sends === 0 ? patience(exchange) : Math.min(resumeTime, exchange.left)
    return this.#context.queue.wait(exchange.priority, time, () => this.#choose(), leave => exchange.working(leave))
  }

  #choose (): Upstream | undefined {
    const { choice } = this.#context
    const { service, tried } = this.#exchange
    const { model, engine } = this.#target
    return engine === undefined ? choice.plain(service, tried) : choice.head(service, model, engine, tried)
  }

  #attempt (upstream: Upstream): Promise<Ending> {
    this.#sends++
    const context = this.#context
    const exchange = this.#exchange
    const lastEvent = this.#progress.lastEvent
    return new Promise(resolve => {
      const onStall = (): void => { if (this.#mayMove()) attempt.abandon('the upstream stands still') }
      const attempt = new StreamAttempt({
        context, exchange, upstream, model: this.#target.model, lastEvent, fresh: false, ended: resolve, progress: this.#progress, onStall
      })
      attempt.start()
    })
  }

  /** Whether a stream that stands still is better off elsewhere. */
  #mayMove (): boolean {
    const { service, repeatable, mayGoOn } = this.#exchange
    return repeatable && mayGoOn && this.#context.retryBudget(service).left > 0 && this.#choose() !== undefined
  }

  #conclude (ending: Ending | undefined): void {
    const exchange = this.#exchange
    if (ending?.kind === 'passed') {
      exchange.response.end()
      return exchange.finish('answered 200')
    }
    if (this.#progress.begun) {
      exchange.response.destroy()
      return exchange.finish('cut')
    }
    if (ending?.kind === 'answered') return passOn(exchange, ending)
    if (ending?.kind === 'lost') return exchange.refuse(new Fault('lost', { detail: `${ending.why}.` }))
    exchange.refuse(this.#refusal())
  }

  #refusal (): Fault {
    const { roster } = this.#context
    const { model } = this.#target
    if (roster.heads(this.#exchange.service, model).length === 0) return new Fault('no-replica', { retryAfter: replicaTime })
    return new Fault('busy', { retryAfter: roomTime })
  }
}

/** Whether another attempt follows. */
export function again (context: Context, { service, repeatable, mayGoOn }: CallerRequest, ending: Ending): boolean {
  if (ending.kind === 'passed') return false
  if (ending.kind === 'answered' && (ending.status < 500 || !repeatable)) return false
  if (ending.kind === 'lost' && !repeatable) return false
  if (!mayGoOn) return false
  return (ending.kind === 'not-run' && !ending.sent) || context.retryBudget(service).take()
}
