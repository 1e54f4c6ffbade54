/** Streams over scripted upstreams: the test decides what each one sends, and sees what the caller gets. */
import { ManualClock } from '@eiderwind/clock'
import { InFlight, Rests, Suspects } from '@eiderwind/detect'
import { Availability, Queue } from '@eiderwind/dispatch'
import { Roster, type Upstream } from '@eiderwind/roster'
import { type Call, type Receiver } from '@eiderwind/wire'
import { StreamPath, type CallerRequest, type Context } from '../src/index.js'
import { soleBudget } from './budgets.js'
import { callerRequest } from './requests.js'

const names = { request: 'id', deadline: 'deadline', key: 'key', team: 'team', upstream: 'upstream', model: 'model', urgency: 'urgency', notRun: 'not-run' }

/** One call to an upstream. */
export class ScriptedCall {
  readonly lastEvent: string | undefined
  readonly receiver: Receiver
  isPaused = false
  isClosed = false

  constructor (call: Call, receiver: Receiver) {
    this.lastEvent = call.headers['last-event-id']
    this.receiver = receiver
  }

  /** Sends the head of the answer. */
  head (status = 200, headers: Record<string, string> = {}): this {
    if (this.receiver.mayBegin()) this.receiver.begun()
    const flow = { pause: () => { this.isPaused = true }, resume: () => { this.isPaused = false }, abort: () => {} }
    this.receiver.head(status, { id: 'r1', 'transfer-encoding': 'chunked', ...headers }, flow)
    return this
  }

  /** Sends events, each with data of `size` characters. */
  events (from: number, to: number, size = 1): this {
    for (let id = from; id <= to; id++) this.part(`id: ${id}\ndata: ${'x'.repeat(size)}\n\n`)
    return this
  }

  part (text: string): void {
    this.receiver.data(Buffer.from(text))
  }

  end (): void {
    this.isClosed = true
    this.receiver.end()
  }

  /** Breaks the connection. */
  break (): void {
    this.isClosed = true
    this.receiver.fail({ error: new Error('other side closed'), sent: true })
  }

  /** Answers that the request did not run. */
  refuse (status: number): void {
    this.head(status, { 'not-run': '1' }).end()
  }
}

/** A request for a stream, its upstreams `u0`, `u1` ... and its caller. */
export class ScriptedStream {
  readonly clock = new ManualClock()
  readonly inFlight = new InFlight(this.clock, () => {})
  /** The calls by the id of their upstream. */
  readonly calls = new Map<string, ScriptedCall>()
  /** Requests that were reported as broken off by an upstream. */
  broken = 0
  /** Whether the caller does not read. */
  isSlow = false
  outcome: string | undefined
  /** The upstreams whose requests were observed to their end, with `failed` or `succeeded`. */
  readonly observed: string[] = []
  readonly request: CallerRequest
  readonly served: Promise<void>
  /** Number of upstreams with free capacity. */
  upstreams: number
  retries: number
  #text = ''

  constructor ({ attempts = 3, upstreams = 3, retries = 10, resumable = true, model = '' }: { attempts?: number, upstreams?: number, retries?: number, resumable?: boolean, model?: string } = {}) {
    this.upstreams = upstreams
    this.retries = retries
    this.request = callerRequest(this.clock, { kind: 'stream', resumable, attempts, onEnd: outcome => { this.outcome = outcome } })
    this.#readAnswer()
    this.served = new StreamPath(this.#context(), this.request, { model, engine: undefined }).serve()
  }

  /** Ids of the events that the caller got, in order. */
  get received (): number[] {
    return [...this.#text.matchAll(/id: (\d+)\ndata: x*\n\n/g)].map(each => Number(each[1]))
  }

  call (upstream: string): ScriptedCall {
    const call = this.calls.get(upstream)
    if (call === undefined) throw new Error(`no call to ${upstream}`)
    return call
  }

  /** Reports that an upstream is silent, as the stall detector does. */
  async stall (upstream: string): Promise<void> {
    for (const { handlers } of this.inFlight.requestsAt(upstream)) handlers.stalled?.()
    await settle()
  }

  /** Asks to move the stream away from an upstream that works. Returns whether it moves. */
  async evacuate (upstream: string): Promise<boolean> {
    const isMoved = this.inFlight.requestsAt(upstream).some(({ handlers }) => handlers.moved?.('its data centre is evacuated') === true)
    await settle()
    return isMoved
  }

  /** The caller reads again. */
  async read (): Promise<void> {
    this.isSlow = false
    this.request.response.emit('drain')
    this.clock.advance(1)
    await settle()
  }

  /** The endings of the attempts, without times. */
  get attempts (): string[] {
    return this.request.attempts.map(each => each.replace(/ at \d+ ms$/, ''))
  }

  #readAnswer (): void {
    const { response } = this.request
    Object.defineProperty(response, 'writableNeedDrain', { get: () => this.isSlow })
    response.write = (piece: Buffer) => {
      this.#text += piece.toString()
      return !this.isSlow
    }
    response.flushHeaders = () => {}
  }

  #context (): Context {
    const { clock, inFlight } = this
    const list = (): Upstream[] => Array.from({ length: this.upstreams }, (_each, index) => ({ id: `u${index}`, service: 's', address: `u${index}`, dataCentre: 'dc', leaving: false, loaded: [], staged: [] }))
    const rests = new Rests({ clock, begun: () => {}, ended: () => {} })
    return {
      clock,
      log: { write: () => {} },
      names,
      inFlight,
      roster: { available: list },
      connections: {
        send: (call: Call, receiver: Receiver) => {
          const scripted = new ScriptedCall(call, receiver)
          this.calls.set(call.origin.slice('http://'.length), scripted)
          return (error: Error) => {
            if (scripted.isClosed) return
            scripted.isClosed = true
            receiver.fail({ error, sent: true })
          }
        }
      },
      choice: {
        plain: (_service: string, avoided: ReadonlySet<string>) => list().find(({ id }) => !avoided.has(id)),
        observe: (id: string, _time: number, failed: boolean) => { this.observed.push(`${id} ${failed ? 'failed' : 'succeeded'}`) }
      },
      suspects: new Suspects(clock, new Roster(clock)),
      availability: new Availability({ clock, rests }),
      queue: new Queue(clock),
      crashes: { standing: () => 'trusted', underTrial: new Set<string>(), wasCrashedByOthers: () => false, recordBroken: () => { this.broken++ }, recordSurvived: () => {}, recordCompleted: () => {} },
      random: () => 0.5,
      retryBudget: (() => {
        const budget = soleBudget(clock, this.retries, 2000)
        return () => budget
      })(),
      serves: () => Promise.resolve(true),
      answered: () => {}
    } as unknown as Context
  }
}

export async function settle (): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await Promise.resolve()
}
