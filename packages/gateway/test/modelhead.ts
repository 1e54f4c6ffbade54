/** A replica head of the overload model: so many streams at once, a short queue, and a refusal at once beyond that. */
import { type ManualClock } from '@eiderwind/clock'
import { type AnswerHeaders, type Cancel, type Receiver } from '@eiderwind/wire'

/** How a head that has no place left turns requests away: by its queue's length alone, or with the time until it has a place. */
export type Refusing = 'queue' | 'rest'

/** Streams that a head runs at once. */
export const slots = 16
/** Places of a head's queue. */
const queueLength = 3
/** One way between gateway and head, in ms. */
export const distance = 1
/** How long after an asking for rest requests may still come that were on their way, in ms. */
const onTheWay = 500
/** Its status where it turns a request away. */
export const unavailable = 503

const flow = { pause: () => {}, resume: () => {}, abort: () => {} }

interface Waiting {
  readonly id: string
  readonly receiver: Receiver
  /** Of its run time, in parts of the mean. */
  readonly size: number
  over: boolean
}

/** One head. It notes what it turned away, and what came in spite of a rest that it had asked for. */
export class ModelHead {
  readonly #clock: ManualClock
  readonly #time: number
  readonly #refusing: Refusing
  readonly #queue: Waiting[] = []
  #running = 0
  turnedAway = 0
  unheeded = 0
  /** By gateway: when it was asked for rest, and until when. */
  readonly #asked = new Map<string, { readonly at: number, readonly until: number }>()

  constructor (clock: ManualClock, time: number, refusing: Refusing) {
    this.#clock = clock
    this.#time = time
    this.#refusing = refusing
  }

  /** Requests that run or wait here. */
  get load (): number {
    return this.#running + this.#queue.length
  }

  arrive (gateway: string, id: string, receiver: Receiver, size: number): Cancel {
    const now = this.#clock.now()
    const asked = this.#asked.get(gateway)
    if (asked !== undefined && now > asked.at + onTheWay && now < asked.until) this.unheeded++
    const request: Waiting = { id, receiver, size, over: false }
    if (this.#running < slots) this.#run(request)
    else if (this.#queue.length < queueLength) this.#queue.push(request)
    else this.#refuse(gateway, request)
    return error => {
      if (request.over) return
      request.over = true
      receiver.fail({ error, sent: true })
    }
  }

  #run (request: Waiting): void {
    this.#running++
    this.#answer(() => {
      if (request.over) return
      request.receiver.head(200, { id: request.id, 'transfer-encoding': 'chunked' }, flow)
      request.receiver.data(Buffer.from('id: 1\ndata: x\n\n'))
    })
    this.#clock.after(this.#time * request.size, () => {
      this.#running--
      this.#answer(() => {
        if (!request.over) request.receiver.end()
        request.over = true
      })
      for (let next = this.#queue.shift(); next !== undefined; next = this.#queue.shift()) {
        if (!next.over) return this.#run(next)
      }
    })
  }

  #refuse (gateway: string, request: Waiting): void {
    this.turnedAway++
    const rest = this.#time / slots * queueLength / 1000
    const headers: AnswerHeaders = { id: request.id, 'not-run': '1', 'content-length': '0', ...this.#refusing === 'rest' ? { 'retry-after': rest.toFixed(3) } : {} }
    if (this.#refusing === 'rest') this.#asked.set(gateway, { at: this.#clock.now(), until: this.#clock.now() + rest * 1000 })
    this.#answer(() => {
      if (request.over) return
      request.receiver.head(unavailable, headers, flow)
      request.over = true
      request.receiver.end()
    })
  }

  #answer (say: () => void): void {
    this.#clock.after(distance, say)
  }
}
