/**
 * Answers that break off between a worker and an entry. The worker is a fake that answers with raw bytes over real
 * connections.
 */
import test, { type ExecutionContext } from 'ava'
import { v7 } from 'uuid'
import { answerForms, closesInOrder, faultOf, receive, sendForm, titleOf, type AnswerForm, type CallerRequest } from '@eiderwind/wire/testing'
import { Harness, type Answer, key, model, plain } from './harness.js'

const prompt = JSON.stringify({ model, messages: [{ role: 'user', content: 'Hello' }] })
const streamed = JSON.stringify({ model, messages: [{ role: 'user', content: 'Hello' }], stream: true })

const paths: ReadonlyArray<{ readonly title: string, readonly service: string, readonly request: Omit<CallerRequest, 'port'> }> = [
  { title: 'to a plain service', service: plain, request: { method: 'GET', path: `/services/${plain}/balance`, headers: {}, body: '' } },
  { title: 'with a key', service: plain, request: { method: 'POST', path: `/services/${plain}/topups`, headers: { 'idempotency-key': v7() }, body: 'x' } },
  { title: 'to a model', service: model, request: { method: 'POST', path: '/v1/chat/completions', headers: {}, body: prompt } }
]

/** Starts an entry with a worker whose answers have this form. */
async function startEntry (t: ExecutionContext, form: AnswerForm, service: string): Promise<Harness> {
  const harness = new Harness()
  t.teardown(() => harness.stop())
  await harness.start()
  const answer: Answer = incoming => sendForm(form, incoming, `eiderwind-attempt: ${String(incoming.headers['eiderwind-attempt'])}`)
  await harness.worker('w', { answers: [answer], fate: 'started' }, service)
  return harness
}

/** A request as a caller sends it. */
function asCaller ({ port }: Harness, request: Omit<CallerRequest, 'port'>): CallerRequest {
  return { ...request, port, headers: { ...request.headers, authorization: `Bearer ${key}`, 'eiderwind-deadline-ms': '1000' } }
}

// Guards against: an answer of a worker that broke off reached the caller framed as whole (MIXED).
for (const { title, service, request } of paths) {
  for (const form of answerForms) {
    test(`an answer ${title} with ${titleOf(form)}, looks to the caller of an entry as it is`, async t => {
      const harness = await startEntry(t, form, service)
      t.is(faultOf(form, await receive(asCaller(harness, request))), undefined)
    })
  }
}

// Guards against: the connection of a caller with HTTP/1.0 was closed in order when its answer broke off (MIXED).
for (const form of answerForms.filter(each => each.broken && each.framing !== 'neither length nor chunks')) {
  test(`an answer with ${titleOf(form)}, ends with a reset for a caller with HTTP/1.0`, async t => {
    const harness = await startEntry(t, form, plain)
    t.false(await closesInOrder(asCaller(harness, paths[0].request)))
  })
}

/** A stream whose first part is sent with a length and breaks off after one event. */
const firstEvent = 'id: 1\ndata: {"choices":[{"delta":{"content":"a"}}]}\n\n'
const rest = 'id: 2\ndata: {"choices":[{"delta":{"content":"bcd"}}]}\n\ndata: [DONE]\n\n'

function sendEvents (events: string, length: number): Answer {
  return ({ headers, socket }) => {
    socket.end(`HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\neiderwind-attempt: ${String(headers['eiderwind-attempt'])}\r\ncontent-length: ${length}\r\n\r\n${events}`)
  }
}

// Guards against: a stream that was resumed had the length of its first part, and was cut there or looked broken (MIXED).
test('a stream that begins with a length and is resumed at another replica reaches the caller whole', async t => {
  const harness = new Harness()
  t.teardown(() => harness.stop())
  await harness.start()
  await harness.worker('w0', { answers: [sendEvents(firstEvent, 90), sendEvents(rest, rest.length)], fate: 'started' }, model)
  await harness.worker('w1', { answers: [sendEvents(rest, rest.length)], fate: 'started' }, model)
  const received = await receive(asCaller(harness, { method: 'POST', path: '/v1/chat/completions', headers: {}, body: streamed }))
  t.deepEqual(received, { status: 200, body: firstEvent + rest, framed: true, whole: true })
})
