/** Real daemons answer faulty requests with typed errors, and cancel the work of callers that disconnect. */
import { connect } from 'node:net'
import test from 'ava'
import { Fleet, modelName, plainName, trialKey, type EngineRecord } from '../src/index.js'

let fleet: Fleet

test.before(async () => {
  fleet = new Fleet({ engines: 1, members: 1, plain: 1, engine: { tokenTime: 20, tokens: 200 } })
  await fleet.start()
})

test.after.always(async () => {
  await fleet.stop()
})

interface FaultAnswer {
  readonly error: { readonly code: string, readonly message: string, readonly outcome: string }
}

interface Case {
  readonly title: string
  readonly path: string
  readonly init: RequestInit
  readonly status: number
  readonly code: string
}

const authorized = { authorization: `Bearer ${trialKey}` }
const messages = [{ role: 'user', content: 'Hello' }]

const cases: readonly Case[] = [
  { title: 'no key', path: '/v1/models', init: {}, status: 401, code: 'bad-key' },
  { title: 'a wrong key', path: '/v1/models', init: { headers: { authorization: 'Bearer nonsense' } }, status: 401, code: 'bad-key' },
  { title: 'an unknown path', path: '/v2', init: { headers: authorized }, status: 404, code: 'unknown-path' },
  { title: 'an unknown model', path: '/v1/chat/completions', init: { method: 'POST', headers: authorized, body: JSON.stringify({ model: 'none', messages }) }, status: 404, code: 'unknown-service' },
  { title: 'an unknown plain service', path: '/services/none/x', init: { headers: authorized }, status: 404, code: 'unknown-service' },
  { title: 'malformed JSON', path: '/v1/chat/completions', init: { method: 'POST', headers: authorized, body: '{' }, status: 400, code: 'bad-request' },
  { title: 'no messages', path: '/v1/chat/completions', init: { method: 'POST', headers: authorized, body: JSON.stringify({ model: modelName }) }, status: 400, code: 'bad-request' },
  { title: 'a body over the limit', path: '/v1/chat/completions', init: { method: 'POST', headers: authorized, body: 'x'.repeat(4 * 2 ** 20 + 1) }, status: 413, code: 'too-large' },
  { title: 'a deadline that is not a number', path: `/services/${plainName}/x`, init: { headers: { ...authorized, 'eiderwind-deadline-ms': 'soon' } }, status: 400, code: 'bad-request' },
  { title: 'an unknown value of eiderwind-repeatable', path: `/services/${plainName}/x`, init: { headers: { ...authorized, 'eiderwind-repeatable': 'maybe' } }, status: 400, code: 'bad-request' },
  { title: 'a key that is not a UUID of version 7', path: `/services/${plainName}/x`, init: { method: 'POST', headers: { ...authorized, 'idempotency-key': 'abc' } }, status: 400, code: 'key-invalid' },
  { title: 'a last event id but no text to resume from', path: '/v1/chat/completions', init: { method: 'POST', headers: { ...authorized, 'last-event-id': '3' }, body: JSON.stringify({ model: modelName, messages, stream: true }) }, status: 400, code: 'bad-request' }
]

for (const { title, path, init, status, code } of cases) {
  test(`a request with ${title} gets a typed error with the outcome "not-run"`, async t => {
    const response = await fetch(`http://${fleet.entries[0].callers}${path}`, init)
    const answer = await response.json() as FaultAnswer
    t.is(response.status, status)
    t.is(answer.error.code, code)
    t.is(answer.error.outcome, 'not-run')
    t.is(response.headers.get('eiderwind-outcome'), 'not-run')
    t.true(answer.error.message.length > 20)
  })
}

test('a body over the limit without a declared length is refused before all of it is read', async t => {
  const [host, port] = fleet.entries[0].callers.split(':')
  const socket = connect(Number(port), host)
  socket.on('error', () => {})
  socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${trialKey}\r\ntransfer-encoding: chunked\r\n\r\n`)
  const chunk = 'y'.repeat(65_536)
  let answer = ''
  socket.on('data', data => { answer += data.toString() })
  const closed = new Promise(resolve => socket.once('close', resolve))
  for (let index = 0; index < 80 && !socket.destroyed; index++) socket.write(`10000\r\n${chunk}\r\n`)
  await closed
  t.regex(answer, /^HTTP\/1\.1 413/)
})

test('the list of models contains the model service', async t => {
  const response = await fetch(`http://${fleet.entries[0].callers}/v1/models`, { headers: authorized })
  const list = await response.json() as { data: { id: string }[] }
  t.deepEqual(list.data.map(each => each.id), [modelName])
})

test('when a caller disconnects in the middle of a stream, the engine cancels the request', async t => {
  const abort = new AbortController()
  const before = await readRecord()
  const response = await fetch(`http://${fleet.entries[0].callers}/v1/chat/completions`, {
    method: 'POST',
    headers: authorized,
    body: JSON.stringify({ model: modelName, stream: true, messages }),
    signal: abort.signal
  })
  await response.body?.getReader().read()
  abort.abort()
  let after = await readRecord()
  for (let tries = 0; after.cancelled === before.cancelled && tries < 100; tries++) after = await readRecord()
  t.is(after.cancelled, before.cancelled + 1)
  t.is(after.finished, before.finished)
})

test('a request past its deadline gets 504 with the outcome "unknown"', async t => {
  const response = await fetch(`http://${fleet.entries[0].callers}/services/${plainName}/slow?delay=5000`, {
    method: 'POST',
    headers: { ...authorized, 'eiderwind-deadline-ms': '300' }
  })
  const answer = await response.json() as FaultAnswer
  t.is(response.status, 504)
  t.is(answer.error.code, 'deadline-running')
  t.is(answer.error.outcome, 'unknown')
})

test('a request to a plain service arrives with its method, path and query', async t => {
  for (const method of ['GET', 'PUT', 'DELETE', 'PATCH']) {
    const response = await fetch(`http://${fleet.entries[0].callers}/services/${plainName}/cards/7?delay=1`, { method, headers: authorized })
    const answer = await response.json() as { method: string, path: string }
    t.deepEqual([answer.method, answer.path], [method, '/cards/7'])
  }
})

async function readRecord (): Promise<EngineRecord> {
  const response = await fetch(`${fleet.worker('engine-1').upstreamUrl}/record`)
  return await response.json() as EngineRecord
}
