/**
 * A replica head of the overload simulation. It runs a fixed number of streams at once, has a short queue, and refuses
 * further requests at once.
 */
import { type ManualClock } from '@eiderwind/clock'
import { type AnswerHeaders, type Cancel, type Receiver } from '@eiderwind/wire'

/** How a full head refuses requests: `queue` without a time, `rest` with the time for which the head asks for rest. */
export type RefusalMode = 'queue' | 'rest'

/** Number of streams that a head runs at once. */
export const slots = 16
/** Maximum number of requests in the queue of a head. */
const queueLength = 3
/** One-way network delay between a gateway and a head, in ms. */
export const oneWayDelay = 1
/** Time after a head has asked for rest in which requests in transit may still arrive, in ms. */
const transitAllowance = 500
/** HTTP status of a refusal. */
export const unavailable = 503

const flow = { pause: () => {}, resume: () => {}, abort: () => {} }

interface HeadRequest {
  readonly id: string
  readonly receiver: Receiver
  /** Run time of the request, as a fraction of the mean. */
  readonly size: number
  hasEnded: boolean
}

/** A head that counts its refusals and the requests that arrive although it has asked the gateway for rest. */
export class ModelHead {
  readonly #clock: ManualClock
  readonly #runTime: number
  readonly #refusalMode: RefusalMode
  readonly #queue: HeadRequest[] = []
  #running = 0
  refusalCount = 0
  requestsDuringRest = 0
  /** The last rest that each gateway was asked for: its beginning and its end, in ms. */
  readonly #rests = new Map<string, { readonly at: number, readonly until: number }>()

  constructor (clock: ManualClock, runTime: number, refusalMode: RefusalMode) {
    this.#clock = clock
    this.#runTime = runTime
    this.#refusalMode = refusalMode
  }

  /** Number of requests that run or wait at this head. */
  get load (): number {
    return this.#running + this.#queue.length
  }

  arrive (gateway: string, id: string, receiver: Receiver, size: number): Cancel {
    const now = this.#clock.now()
    const rest = this.#rests.get(gateway)
    if (rest !== undefined && now > rest.at + transitAllowance && now < rest.until) this.requestsDuringRest++
    const request: HeadRequest = { id, receiver, size, hasEnded: false }
    if (this.#running < slots) this.#run(request)
    else if (this.#queue.length < queueLength) this.#queue.push(request)
    else this.#refuse(gateway, request)
    return error => {
      if (request.hasEnded) return
      request.hasEnded = true
      receiver.fail({ error, sent: true })
    }
  }

  #run (request: HeadRequest): void {
    this.#running++
    this.#answer(() => {
      if (request.hasEnded) return
      request.receiver.head(200, { id: request.id, 'transfer-encoding': 'chunked' }, flow)
      request.receiver.data(Buffer.from('id: 1\ndata: x\n\n'))
    })
    this.#clock.after(this.#runTime * request.size, () => {
      this.#running--
      this.#answer(() => {
        if (!request.hasEnded) request.receiver.end()
        request.hasEnded = true
      })
      for (let next = this.#queue.shift(); next !== undefined; next = this.#queue.shift()) {
        if (!next.hasEnded) return this.#run(next)
      }
    })
  }

  #refuse (gateway: string, request: HeadRequest): void {
    this.refusalCount++
    const restTime = this.#runTime / slots * queueLength / 1000
    const headers: AnswerHeaders = { id: request.id, 'not-run': '1', 'content-length': '0', ...this.#refusalMode === 'rest' ? { 'retry-after': restTime.toFixed(3) } : {} }
    if (this.#refusalMode === 'rest') this.#rests.set(gateway, { at: this.#clock.now(), until: this.#clock.now() + restTime * 1000 })
    this.#answer(() => {
      if (request.hasEnded) return
      request.receiver.head(unavailable, headers, flow)
      request.hasEnded = true
      request.receiver.end()
    })
  }

  #answer (send: () => void): void {
    this.#clock.after(oneWayDelay, send)
  }
}
