/**
 * One streamed completion, over all replicas that serve parts of it. Owns the transcript of the events that the caller
 * has received (`transcript.ts`). A stream is complete only with its end mark.
 */
import { Fault } from '@eiderwind/fault'
import { answerFault, callerHeaders, endToEndHeaders, wireHeaders, type AnswerHeaders } from '@eiderwind/wire'
import { attemptCall } from './attempting.js'
import { type Completion } from './completion.js'
import { type Context } from './context.js'
import { attemptAt, timeLeft, type Exchange } from './exchange.js'
import { sendAnswer, type Choice } from './modelpath.js'
import { failure, finalFault, accountForEarlierTries, type Failure } from './outcome.js'
import { Part, type PartEnd } from './part.js'
import { type Target } from './targets.js'
import { Transcript } from './transcript.js'

/** Pause before a stream that has begun searches for a replica again, in ms. */
const resumePause = 200

/** A stream that has begun may search for a replica for this time after its first failed attempt, in ms. */
const maxResumeWait = 60_000

/**
 * One streamed completion. It is complete only with its end mark. If a replica fails before that, the stream is resumed
 * at another replica, at the offset that the caller has. A stream that has begun waits if all replicas are briefly
 * busy. While the caller has received nothing, the stream is refused at once when no replica takes it.
 */
export class Stream {
  readonly #context: Context
  readonly #exchange: Exchange
  readonly #completion: Completion
  readonly #choice: Choice
  readonly #transcript: Transcript
  #begun = false

  constructor (context: Context, exchange: Exchange, completion: Completion, choice: Choice) {
    this.#context = context
    this.#exchange = exchange
    this.#completion = completion
    this.#choice = choice
    const offset = Number(exchange.request.headers[callerHeaders.lastEvent] ?? 0)
    this.#transcript = new Transcript({ offset, text: completion.resume?.text ?? '', hasFinishReason: false })
  }

  /** Serves the stream. Always answers the response. */
  async serve (): Promise<void> {
    const { clock, budget, metric, targets } = this.#context
    const { response } = this.#exchange
    let last = new Fault('no-replica')
    let mayHaveRun = false
    let firstFailureAt = Infinity
    budget.deposit()
    for (let tries = 0; timeLeft(this.#exchange, clock) > 0 && !response.destroyed; tries++) {
      const target = this.#choice.next()
      if (!this.#begun && (target === undefined || (tries > 0 && !budget.withdraw()))) break
      if (target === undefined) {
        if (clock.now() - firstFailureAt > maxResumeWait) break
        this.#choice.reset()
        await clock.wait(resumePause)
        continue
      }
      if (tries > 0) metric.count('request.retry')
      targets.recordSent(target.worker)
      const end = await this.#streamPart(target)
      targets.recordEnded(target.worker)
      if (end.type === 'done') return
      last = end.failure.fault
      this.#recordFailure(target, end.failure)
      if (end.failure.outcome !== 'not-run') mayHaveRun = true
      if (mayHaveRun && !this.#exchange.repeatable) break
      firstFailureAt = Math.min(firstFailureAt, clock.now())
    }
    this.#endFailed(accountForEarlierTries(finalFault(last, mayHaveRun), this.#exchange.key))
  }

  #recordFailure (target: Target, { fault, outcome }: Failure): void {
    const { log, metric } = this.#context
    log.write('attempt-failed', { service: this.#exchange.service, worker: target.worker, code: fault.code, outcome })
    if (this.#begun && fault.code === 'interrupted') {
      log.write('stream-resumed', { service: this.#exchange.service, offset: this.#transcript.resume().offset })
      metric.count('request.resumed')
    }
  }

  /** Streams from one replica until the end mark or a failure. */
  #streamPart (target: Target): Promise<PartEnd> {
    const { clock, inFlight, connections } = this.#context
    const exchange = this.#exchange
    const progress = this.#transcript.resume()
    if (progress.hasFinishReason) return Promise.resolve(this.#end())
    const attempt = attemptAt(target, clock)
    return new Promise(resolve => {
      const finish = (end: PartEnd): void => {
        timer.cancel()
        removeFromList()
        exchange.response.off('close', onCallerGone)
        resolve(end)
      }
      const part = new Part(this.#context, attempt, {
        begin: headers => this.#begin(target, headers),
        forwardEvents: chunk => this.#forwardEvents(chunk),
        forwardAnswer: (status, headers, body) => this.#forwardAnswer(status, headers, body),
        ended: end => finish(this.#transcript.isComplete ? this.#end() : end)
      }, this.#exchange.response)
      const cancel = connections.send(attemptCall(this.#context, exchange, attempt, {}, this.#body(progress.offset, progress.text)), part)
      const timer = clock.after(timeLeft(exchange, clock), () => cancel(new Error('The deadline has passed.')))
      const removeFromList = inFlight.add(target, cancel)
      const onCallerGone = (): void => {
        this.#context.log.write('caller-gone', { service: exchange.service })
        cancel(new Error('The caller disconnected.'))
      }
      exchange.response.once('close', onCallerGone)
    })
  }

  /** The request body for an engine. Contains the position to resume from once the caller has received events. */
  #body (offset: number, text: string): Buffer {
    if (offset === 0) return this.#exchange.body
    return Buffer.from(JSON.stringify({ ...this.#completion, resume: { offset, text } }))
  }

  #begin (target: Target, headers: AnswerHeaders): void {
    const { clock, metric } = this.#context
    this.#choice.recordServed(target)
    if (this.#begun) return
    this.#begun = true
    metric.timing('request.first_byte_ms', clock.now() - this.#exchange.startedAt, { service: this.#exchange.service })
    // The stream has no length, since another replica may go on with it, and this process judges itself whether it ended.
    const { [wireHeaders.attempt]: _attempt, 'content-length': _length, ...kept } = endToEndHeaders(headers)
    this.#exchange.response.writeHead(200, kept)
    this.#exchange.response.flushHeaders()
  }

  /** Forwards complete events. Returns false while the caller's connection accepts no more data. */
  #forwardEvents (chunk: Buffer): boolean {
    const events = this.#transcript.take(chunk)
    return events === undefined || this.#exchange.response.write(events)
  }

  /** Answers the caller with the engine's answer if that is not a stream, such as an error about the request. */
  #forwardAnswer (status: number, headers: AnswerHeaders, body: Buffer): PartEnd {
    if (this.#begun) return { type: 'failed', failure: failure(new Fault('interrupted')) }
    const { [wireHeaders.attempt]: _attempt, ...kept } = headers
    sendAnswer(this.#exchange, { status, headers: kept, body })
    return { type: 'done' }
  }

  /** Ends a complete stream. Adds the end mark if the replica failed just before sending it. */
  #end (): PartEnd {
    const { response } = this.#exchange
    response.end(this.#transcript.isComplete ? undefined : 'data: [DONE]\n\n')
    return { type: 'done' }
  }

  /**
   * Ends an incomplete stream: with a refusal, or with an event of type `error` and no end mark if the stream has
   * begun.
   */
  #endFailed (fault: Fault): void {
    const { response } = this.#exchange
    if (!this.#begun) return answerFault(response, fault)
    if (response.destroyed) return
    const streamFault = new Fault('interrupted')
    response.end(`event: error\ndata: ${JSON.stringify({ error: streamFault.body })}\n\n`)
  }
}
