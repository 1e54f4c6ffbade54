/**
 * Attempts whose upstream asks for rest, answers with the id of another request, or sends an event without end: whether
 * the request is sent, and how the attempt ends.
 */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { InFlight, Suspects } from '@eiderwind/detect'
import { type AttemptResult } from '@eiderwind/dispatch'
import { Roster, type Upstream } from '@eiderwind/roster'
import { type AnswerHeaders, type Receiver } from '@eiderwind/wire'
import { CollectAttempt, maxCollectedBytes } from '../src/attempt.js'
import { type AnswerHead, type Context } from '../src/index.js'
import { Progress, StreamAttempt } from '../src/streamattempt.js'
import { callerRequest } from './requests.js'

const names = { request: 'id', deadline: 'deadline', key: 'key', team: 'team', upstream: 'upstream', model: 'model', urgency: 'urgency', notRun: 'not-run' }
const upstream: Upstream = { id: 'u', service: 's', address: 'u:1', dataCentre: 'dc', leaving: false, loaded: [], staged: [] }
const flow = { pause: () => {}, resume: () => {}, abort: () => {} }

/** An attempt over a connection whose events the test triggers. */
class ScriptedAttempt {
  readonly results: AttemptResult[] = []
  readonly answers: number[] = []
  readonly inFlight: InFlight
  receiver: Receiver | undefined

  /** @param stream whether the answer is forwarded as it arrives */
  constructor (stream = false) {
    const clock = new ManualClock()
    const roster = new Roster(clock)
    this.inFlight = new InFlight(clock, () => {})
    const connections = {
      send: (_call: unknown, receiver: Receiver) => {
        this.receiver = receiver
        return (error: Error) => receiver.fail({ error, sent: false })
      }
    }
    const context = {
      clock,
      log: { write: () => {} },
      names,
      connections,
      inFlight: this.inFlight,
      suspects: new Suspects(clock, roster),
      crashes: { recordBroken: () => {}, recordSurvived: () => {}, recordCompleted: () => {} },
      answered: (_upstream: Upstream, { status }: AnswerHead) => this.answers.push(status)
    } as unknown as Context
    const onEnd = (result: AttemptResult): void => { this.results.push(result) }
    const options = { context, request: callerRequest(clock, { kind: 'once', resumable: false }), upstream, model: '', newConnection: false, trial: undefined, onEnd }
    const attempt = stream ? new StreamAttempt({ ...options, progress: new Progress(undefined) }) : new CollectAttempt(options)
    attempt.start()
  }

  answer (status: number, headers: AnswerHeaders): void {
    this.receiver?.head(status, headers, flow)
  }

  /** Withdraws the request if it is not being sent yet, as when another answer of the upstream asks for rest. */
  withdraw (): void {
    this.inFlight.withdraw('u', 'the upstream asked for rest')
  }
}

test('a request that waits for its connection when its upstream asks for rest is withdrawn and counts as not sent', t => {
  const attempt = new ScriptedAttempt()
  attempt.withdraw()
  t.deepEqual(attempt.results, [{ kind: 'not-run', why: 'the upstream asked for rest', sent: false }])
})

test('a request that is being written when its upstream asks for rest completes', t => {
  const attempt = new ScriptedAttempt()
  attempt.receiver?.begun()
  attempt.withdraw()
  t.deepEqual(attempt.results, [])
  attempt.answer(200, { id: 'r1', 'content-length': '0' })
  attempt.receiver?.end()
  t.is(attempt.results[0].kind, 'answered')
})

test('an answer with the id of its request is reported for the upstream, one with another id is not', t => {
  const own = new ScriptedAttempt()
  own.answer(503, { id: 'r1', 'not-run': '1' })
  t.deepEqual(own.answers, [503])
  const foreign = new ScriptedAttempt()
  foreign.answer(503, { id: 'r2', 'not-run': '1' })
  t.deepEqual(foreign.answers, [])
})

test('an event that grows beyond the maximum size ends its attempt as lost', t => {
  const attempt = new ScriptedAttempt(true)
  attempt.receiver?.begun()
  attempt.answer(200, { id: 'r1', 'transfer-encoding': 'chunked' })
  const part = Buffer.alloc(2 ** 20, 'x')
  for (let size = 0; size < maxCollectedBytes; size += part.length) attempt.receiver?.data(part)
  t.deepEqual(attempt.results, [])
  attempt.receiver?.data(part)
  t.deepEqual(attempt.results, [{ kind: 'lost', why: 'an event is too long', broken: undefined }])
})

// Guards against an answer that is no series of events, taken for an event without its end and dropped (LOST).
for (const headers of [
  { 'content-type': 'application/json', 'content-length': '8' },
  { 'content-type': 'application/json; charset=utf-8', 'transfer-encoding': 'chunked' },
  { 'content-length': '8' }
]) {
  test(`an answer to a stream that is no series of events is collected: ${JSON.stringify(headers)}`, t => {
    const attempt = new ScriptedAttempt(true)
    attempt.receiver?.begun()
    attempt.answer(200, { id: 'r1', ...headers })
    attempt.receiver?.data(Buffer.from('{"a"'))
    attempt.receiver?.data(Buffer.from(': 1}'))
    attempt.receiver?.end()
    t.deepEqual(attempt.results, [{ kind: 'answered', status: 200, headers: { id: 'r1', ...headers }, body: Buffer.from('{"a": 1}') }])
  })
}

test('an answer of the type of events is forwarded as it arrives, however the type is written', t => {
  for (const type of ['text/event-stream', 'Text/Event-Stream; charset=utf-8']) {
    const attempt = new ScriptedAttempt(true)
    attempt.receiver?.begun()
    attempt.answer(200, { id: 'r1', 'content-type': type, 'transfer-encoding': 'chunked' })
    attempt.receiver?.data(Buffer.from('id: 1\n\n'))
    attempt.receiver?.end()
    t.deepEqual(attempt.results, [{ kind: 'passed' }], type)
  }
})
