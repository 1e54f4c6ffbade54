/**
 * The outcome that an entry reports for a failed request. The tests guard against "not run" for a request that may have
 * run: each place that reports "not run" is tested with a cause for which it would be wrong. They also guard against an
 * answer that reaches the wrong caller. The workers are fakes that answer over real connections.
 */
import { createServer } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { v7 } from 'uuid'
import { Harness, cutConnection, echo, key, model, plain, refusal, neverAnswer, type Answer, type WorkerBehaviour } from './harness.js'

interface Case {
  readonly title: string
  readonly path?: string
  readonly init?: RequestInit
  /** Sets up the entry, in addition to the workers. */
  readonly setUp?: (harness: Harness) => void | Promise<void>
  /** The workers, in the order of the attempts. For a key, the last one is the home. */
  readonly workers?: readonly WorkerBehaviour[]
  /** The workers of the attempts that must fail, in order. Given where a case depends on this order. */
  readonly failed?: readonly string[]
  readonly code: string
  readonly outcome: 'not-run' | 'unknown'
}

const keyed = (extra: Record<string, string> = {}): RequestInit => ({ method: 'POST', headers: { 'idempotency-key': v7(), ...extra }, body: 'x' })
const topUp = `/services/${plain}/topups`
const query = `/services/${plain}/balance`
const prompt = JSON.stringify({ model, messages: [{ role: 'user', content: 'Hello' }] })
const streamed = JSON.stringify({ model, messages: [{ role: 'user', content: 'Hello' }], stream: true })

/** An address at which no process listens. */
async function refusedAddress (): Promise<string> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as { port: number }
  await new Promise(resolve => server.close(resolve))
  return `127.0.0.1:${port}`
}

async function downWorker (harness: Harness, service = plain): Promise<void> {
  harness.report('down', await refusedAddress(), service)
}

const leaving = (harness: Harness): void => harness.board.write('stopping', true)
const behind = (harness: Harness): void => harness.board.write('behind', true)

const cases: readonly Case[] = [
  { title: 'a stopping entry', setUp: leaving, code: 'leaving', outcome: 'not-run' },
  { title: 'a stopping entry, with a key that may have run before', init: keyed(), setUp: leaving, code: 'leaving', outcome: 'unknown' },
  { title: 'an entry with an outdated configuration', setUp: behind, code: 'behind', outcome: 'not-run' },
  { title: 'an entry with an outdated configuration, with a key that may have run before', init: keyed(), setUp: behind, code: 'behind', outcome: 'unknown' },
  { title: 'a wrong team key, with a key that may have run before', init: keyed({ authorization: 'Bearer other' }), code: 'bad-key', outcome: 'unknown' },
  { title: 'an unknown service, with a key that may have run before', path: '/services/none/topups', init: keyed(), code: 'unknown-service', outcome: 'unknown' },
  { title: 'a body over the limit, with a key that may have run before', path: topUp, init: { ...keyed(), body: 'x'.repeat(1001) }, code: 'too-large', outcome: 'unknown' },
  { title: 'a bad deadline, with a key that may have run before', path: topUp, init: keyed({ 'eiderwind-deadline-ms': 'soon' }), code: 'bad-request', outcome: 'unknown' },
  { title: 'a malformed key, which no home ever accepts', path: topUp, init: { method: 'POST', headers: { 'idempotency-key': 'abc' } }, code: 'key-invalid', outcome: 'not-run' },
  { title: 'no worker', code: 'no-replica', outcome: 'not-run' },
  { title: 'no replica, with a key that may have run before', path: '/v1/chat/completions', init: { ...keyed(), body: prompt }, code: 'no-replica', outcome: 'unknown' },
  { title: 'no replica for a stream, with a key that may have run before', path: '/v1/chat/completions', init: { ...keyed(), body: streamed }, code: 'no-replica', outcome: 'unknown' },
  { title: 'no home for a key that may have run before', path: topUp, init: keyed(), code: 'not-home', outcome: 'unknown' },
  { title: 'no home for a key that the entry minted', path: topUp, init: { method: 'POST', body: 'x' }, code: 'not-home', outcome: 'not-run' },
  { title: 'a worker that accepts no connection', setUp: harness => downWorker(harness), code: 'upstream-down', outcome: 'not-run' },
  { title: 'a worker that accepts no connection, after one that started the request and cut the connection', workers: [{ answers: [cutConnection], fate: 'started' }], setUp: harness => downWorker(harness), failed: ['w0', 'down'], code: 'lost', outcome: 'unknown' },
  { title: 'a head that accepts no connection', path: '/v1/chat/completions', init: { method: 'POST', body: prompt }, setUp: harness => downWorker(harness, model), code: 'upstream-down', outcome: 'not-run' },
  { title: 'a cut connection, after which the worker confirms that the attempt never starts', workers: [{ answers: [cutConnection], fate: 'tombstoned' }], code: 'upstream-down', outcome: 'not-run' },
  { title: 'a cut connection, after which the worker reports that the attempt has started', workers: [{ answers: [cutConnection], fate: 'started' }], code: 'lost', outcome: 'unknown' },
  { title: 'a cut connection, after which another incarnation answers for the worker', workers: [{ answers: [cutConnection], fate: 'stranger' }], code: 'lost', outcome: 'unknown' },
  { title: 'a cut connection, after which the worker does not answer about the attempt', workers: [{ answers: [cutConnection] }], code: 'lost', outcome: 'unknown' },
  { title: 'a refusal by a worker', workers: [{ answers: [refusal('busy')] }], code: 'busy', outcome: 'not-run' },
  { title: 'a refusal by a worker, after one that started the request and cut the connection', workers: [{ answers: [cutConnection], fate: 'started' }, { answers: [refusal('busy')] }], failed: ['w0', 'w1'], code: 'lost', outcome: 'unknown' },
  { title: 'a worker that answers 500 without a fault in the body', workers: [{ answers: [(_request, response) => { response.statusCode = 500; response.end('?') }] }], code: 'lost', outcome: 'unknown' },
  { title: 'a deadline that passes while the worker has the request', init: { headers: { 'eiderwind-deadline-ms': '200' } }, workers: [{ answers: [neverAnswer] }], code: 'deadline-running', outcome: 'unknown' },
  { title: 'a home that refuses a caller\'s key and confirms nothing about earlier tries', path: topUp, init: keyed(), workers: [{ answers: [refusal('busy')] }], code: 'busy', outcome: 'unknown' },
  { title: 'a home that refuses a caller\'s key and confirms that no earlier try has run', path: topUp, init: keyed(), workers: [{ answers: [refusal('busy', true)] }], code: 'busy', outcome: 'not-run' },
  { title: 'a home that cut the connection, then refuses the key and confirms that no earlier try has run', path: topUp, init: keyed(), workers: [{ answers: [cutConnection, refusal('busy', true)] }], code: 'lost', outcome: 'unknown' },
  { title: 'a deadline that passes while the home has a minted key', path: topUp, init: { method: 'POST', body: 'x', headers: { 'eiderwind-deadline-ms': '200' } }, workers: [{ answers: [neverAnswer] }], code: 'deadline-running', outcome: 'unknown' }
]

async function startHarness (t: ExecutionContext, workers: readonly WorkerBehaviour[] = []): Promise<Harness> {
  const harness = new Harness()
  t.teardown(() => harness.stop())
  await harness.start()
  for (const [index, options] of workers.entries()) await harness.worker(`w${index}`, options)
  return harness
}

for (const { title, path = query, init, setUp, workers, failed, code, outcome } of cases) {
  test(`${title}: the caller gets the outcome ${outcome}`, async t => {
    const harness = await startHarness(t, workers)
    await setUp?.(harness)
    const response = await harness.ask(path, init)
    const { error } = await response.json() as { error: { code: string, outcome: string } }
    t.is(`${error.code} ${error.outcome}`, `${code} ${outcome}`)
    t.is(response.headers.get('eiderwind-outcome'), outcome)
    if (failed !== undefined) t.deepEqual(harness.failed, failed)
  })
}

const foreign: Answer = (_request, response) => {
  response.setHeader('eiderwind-attempt', v7())
  response.setHeader('content-type', 'text/event-stream')
  response.end('another caller\'s')
}

const paths = [
  { title: 'a plain answer', path: query, init: {}, service: plain },
  { title: 'a keyed answer', path: topUp, init: keyed(), service: plain },
  { title: 'a completion', path: '/v1/chat/completions', init: { method: 'POST', body: prompt }, service: model },
  { title: 'a stream', path: '/v1/chat/completions', init: { method: 'POST', body: streamed }, service: model }
]

for (const { title, path, init, service } of paths) {
  test(`${title} that names another attempt is dropped, and the outcome is unknown`, async t => {
    const harness = await startHarness(t)
    await harness.worker('w', { answers: [foreign], fate: 'started' }, service)
    const response = await harness.ask(path, init)
    const text = await response.text()
    t.false(text.includes('another caller'))
    t.is(response.headers.get('eiderwind-outcome'), 'unknown')
  })
}

test('an answer that comes twice on a connection reaches its own caller only', async t => {
  const harness = await startHarness(t)
  let sent = 0
  const twice = createServer(socket => socket.on('data', data => {
    for (const [, attempt] of data.toString().matchAll(/eiderwind-attempt: (\S+)/g)) {
      const body = `answer ${++sent}`
      const answer = `HTTP/1.1 200 OK\r\neiderwind-attempt: ${attempt}\r\ncontent-length: ${body.length}\r\n\r\n${body}`
      socket.write(answer + answer)
    }
  }))
  socketErrors(twice)
  await new Promise<void>(resolve => twice.listen(0, '127.0.0.1', resolve))
  t.teardown(() => twice.close())
  harness.report('w', `127.0.0.1:${(twice.address() as { port: number }).port}`, plain)
  const seen = new Set<string>()
  for (let index = 0; index < 20; index++) {
    const response = await harness.ask(query, { method: 'POST' })
    const text = await response.text()
    if (response.status !== 200) continue
    t.false(seen.has(text), 'no caller gets the answer of another one')
    seen.add(text)
  }
  t.true(seen.size > 0)
})

test('an answer that comes after its deadline is dropped, and the next caller gets its own answer', async t => {
  const harness = await startHarness(t)
  let late = (): void => {}
  const answers: Answer[] = [(request, response) => { late = () => echo('late')(request, response) }, echo('own')]
  await harness.worker('w', { answers, fate: 'started' })
  const first = await harness.ask(query, { headers: { 'eiderwind-deadline-ms': '200' } })
  t.is(first.headers.get('eiderwind-outcome'), 'unknown')
  const second = harness.ask(query)
  late()
  t.is(await (await second).text(), 'own')
})

test('the team key of a caller never reaches a worker', async t => {
  const harness = await startHarness(t)
  let seen = ''
  await harness.worker('w', { answers: [(request, response) => { seen = JSON.stringify(request.headers); echo('x')(request, response) }] })
  await (await harness.ask(query)).text()
  t.true(seen.includes('eiderwind-attempt'))
  t.false(seen.includes(`Bearer ${key}`))
})

/** Ignores socket errors: the entry may close a socket in the middle of an answer. */
function socketErrors (server: ReturnType<typeof createServer>): void {
  server.on('connection', socket => socket.on('error', () => {}))
}
