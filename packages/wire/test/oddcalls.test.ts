/**
 * Calls with odd parts, through both ways to send them: whatever is wrong with a call, its receiver hears of its end
 * exactly once, nothing is thrown, and a call that reached the other side does not count as not sent.
 */
import { createServer, type Server, type Socket } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import fc from 'fast-check'
import { Agent } from 'undici'
import { ManualClock, SystemClock } from '@eiderwind/clock'
import { CallError, Collector, Connections, ask, send, type Call, type CallFailure, type Collected } from '../src/index.js'

const seed = 74
/** Number of drawn calls. A long run by hand sets it in the environment. */
const runs = Number(process.env.EIDERWIND_RUNS ?? 400)

/** How long a call may take, in ms. Each answer is written as soon as any byte of a request arrives. */
const callTimeout = 2000

/** A server that answers each piece that it reads, and counts the bytes. */
class CountingServer {
  bytes = 0
  origin = ''
  readonly #server: Server
  readonly #sockets = new Set<Socket>()

  constructor () {
    this.#server = createServer(socket => {
      this.#sockets.add(socket)
      socket.on('error', () => {})
      socket.on('data', piece => {
        this.bytes += piece.length
        socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')
      })
    })
  }

  async start (): Promise<void> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    this.origin = `http://127.0.0.1:${(this.#server.address() as { port: number }).port}`
  }

  stop (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }
}

/** Starts a server that stops with the test, also if the test fails. */
async function startServer (t: ExecutionContext): Promise<CountingServer> {
  const server = new CountingServer()
  t.teardown(() => server.stop())
  await server.start()
  return server
}

const oddTexts = ['', ' ', 'a b', 'a\nb', 'a\r\nx: y', 'é', '日本', '😀', '\ud800', '\0', '\x7f', '\t', ':', 'a'.repeat(20_000), '__proto__', 'constructor']
const text = fc.oneof(fc.constantFrom(...oddTexts), fc.string(), fc.string({ unit: 'binary' }))

const headerName = fc.oneof(text, fc.constantFrom('host', 'content-length', 'transfer-encoding', 'connection', 'expect', 'upgrade', 'keep-alive', 'content-type', 'te', 'trailer', 'x-a'))
const headerValue: fc.Arbitrary<unknown> = fc.oneof(text, fc.constantFrom('close', 'keep-alive', 'chunked', '100-continue', '3', '-1', '1e9'),
  fc.constantFrom(null, undefined, 3, NaN, true, Symbol('s'), { toString: () => { throw new Error('no text') } }, () => 'text'), fc.array(text, { maxLength: 2 }))

/** Draws an ordinary value more often than an odd one, so that some calls have one odd part only. */
function usually<Value> (ordinary: fc.Arbitrary<Value>, odd: fc.Arbitrary<unknown>): fc.Arbitrary<unknown> {
  return fc.oneof({ weight: 2, arbitrary: ordinary }, { weight: 1, arbitrary: odd })
}

/** None of them makes the system look for the address of a name. */
const oddOrigins = [...['99999', '', '0', '1', '-1', 'x', '80/path', '80?query', '80#fragment', ' 80', '1\n', '日本'].map(each => `http://127.0.0.1:${each}`), 'http://[::', 'http://[::1]:1', 'http://x y:80', 'http://a%zz<>:80', 'http://', 'ftp://127.0.0.1:1', 'text', '', '\0', '__proto__']

/** A drawn call. An undefined origin stands for that of the server. */
const call = fc.record({
  origin: fc.option(fc.constantFrom(...oddOrigins), { nil: undefined, freq: 1 }),
  path: usually(fc.constant('/path?query'), fc.oneof(text, text.map(each => `/${each}`))),
  method: usually(fc.constantFrom('GET', 'POST', 'HEAD', 'PUT', 'DELETE'), fc.oneof(fc.constantFrom('OPTIONS', 'TRACE', 'CONNECT', 'get'), text)),
  headers: usually(fc.constant({ 'content-type': 'text/plain' }), fc.oneof(fc.dictionary(headerName, headerValue, { maxKeys: 3 }), fc.constantFrom(null, undefined, 3, [], ['a']))),
  body: fc.oneof(fc.constant(undefined), fc.uint8Array({ maxLength: 10 }).map(each => Buffer.from(each)))
})

interface Drawn {
  readonly origin: string | undefined
}

function callOf (drawn: Drawn, origin: string): Call {
  return { ...drawn, origin: drawn.origin ?? origin } as unknown as Call
}

/** How a call ended: an answer, or a failure. */
type End = Collected | CallFailure

/** The ends that a receiver heard of, until a while after the first one. */
async function endsOf (sendTo: (receiver: Collector) => (reason: Error) => void): Promise<End[]> {
  const ends: End[] = []
  let hear: () => void = () => {}
  const heard = new Promise<void>(resolve => { hear = resolve })
  const record = (end: End): void => {
    ends.push(end)
    hear()
  }
  const cancel = sendTo(new Collector({ whole: record, failed: record }))
  const timer = setTimeout(() => {
    cancel(new Error('No end.'))
    hear()
  }, callTimeout)
  await heard
  clearTimeout(timer)
  cancel(new Error('The call has ended.'))
  await new Promise(resolve => setImmediate(resolve))
  return ends
}

/** The bytes of a call may still be on their way when it has failed. */
async function arrived (): Promise<void> {
  for (let turn = 0; turn < 3; turn++) await new Promise(resolve => setImmediate(resolve))
}

// Guards against: a call that threw, or whose failure was reported twice or never: requests without an answer, and processes that ended (FAULT, LOST).
test.serial('a call with any origin, path, method and headers ends exactly once, and one that arrived was sent', async t => {
  const server = await startServer(t)
  const connections = new Connections({ connectTime: 500 })
  t.teardown(() => connections.close())
  const agent = new Agent({ pipelining: 1, connect: { timeout: 500 } })
  t.teardown(async () => await agent.destroy())
  let failed = 0
  await fc.assert(fc.asyncProperty(call, fc.boolean(), async (drawn, fresh) => {
    const ways = [
      (receiver: Collector) => connections.send(callOf(drawn, server.origin), receiver, fresh),
      (receiver: Collector) => send(agent, callOf(drawn, server.origin), receiver)
    ]
    for (const sendTo of ways) {
      const before = server.bytes
      const ends = await endsOf(sendTo)
      if (ends.length !== 1) throw new Error(`${ends.length} ends`)
      await arrived()
      const [end] = ends
      if (!('error' in end)) continue
      failed++
      if (end.error.message === 'No end.') throw new Error('no end')
      if (!end.sent && server.bytes > before) throw new Error('not sent, but arrived')
    }
  }), { seed, numRuns: runs, endOnFailure: true })
  t.log(`${runs} calls, each by two ways: ${failed} failed`)
  t.true(failed > 0 && failed < 2 * runs)
})

test.serial('a question with any origin, path, method and headers is answered or rejects with a typed error', async t => {
  const server = await startServer(t)
  const connections = new Connections({ connectTime: 500 })
  t.teardown(() => connections.close())
  const clock = new SystemClock()
  await fc.assert(fc.asyncProperty(call, async drawn => {
    const before = server.bytes
    const end = await ask(connections, clock, callOf(drawn, server.origin), callTimeout).catch((error: unknown) => error)
    if (!(end instanceof Error)) return
    await arrived()
    if (!(end instanceof CallError) || end.expired) throw end
    if (!end.sent && server.bytes > before) throw new Error('not sent, but arrived')
  }), { seed, numRuns: runs, endOnFailure: true })
  t.pass()
})

/** Calls that fail before they are sent. */
const unsendable: ReadonlyArray<Partial<Call>> = [{ origin: 'http://127.0.0.1:99999' }, { path: '/a b' }, { method: 'a b' }, { headers: { 'a b': '' } }, { headers: { a: 'b\nc' } }]

// Guards against: a receiver that uses what is set only after `send` has returned (FAULT: a ReferenceError in a timer).
test('a receiver hears nothing before send has returned, and of a failure in the same turn of the event loop', async t => {
  const connections = new Connections()
  t.teardown(() => connections.close())
  const agent = new Agent()
  t.teardown(async () => await agent.destroy())
  for (const odd of unsendable) {
    const made: Call = { origin: 'http://127.0.0.1:1', path: '/', method: 'GET', headers: {}, body: undefined, ...odd }
    for (const sendTo of [(receiver: Collector) => connections.send(made, receiver), (receiver: Collector) => send(agent, made, receiver)]) {
      const failures: CallFailure[] = []
      let isSent = false
      const cancel = sendTo(new Collector({ whole: () => t.fail(), failed: failure => { if (isSent) failures.push(failure) } }))
      isSent = true
      cancel(new Error('The caller left.'))
      await Promise.resolve()
      t.like(failures, { length: 1, 0: { sent: false } }, JSON.stringify(odd))
    }
  }
  t.is(connections.count, 0)
})

// Guards against: a call that never ended, not even when it was cancelled: the answer to CONNECT is a tunnel (LOST).
test('a call that asks for a tunnel fails as not sent', async t => {
  const server = await startServer(t)
  const connections = new Connections()
  t.teardown(() => connections.close())
  const tunnel = { origin: server.origin, path: '/', method: 'CONNECT', headers: {}, body: undefined }
  t.like(await endsOf(receiver => connections.send(tunnel, receiver)), { length: 1, 0: { sent: false } })
  t.is(server.bytes, 0)
})

// Guards against: a call that is made although its question was withdrawn before.
test('a question that was withdrawn before it is asked fails as not sent', async t => {
  const server = await startServer(t)
  const clock = new ManualClock()
  const connections = new Connections()
  t.teardown(() => connections.close())
  const asked = ask(connections, clock, { origin: server.origin, path: '/', method: 'GET', headers: {}, body: undefined }, 500, { signal: AbortSignal.abort() })
  t.like(await t.throwsAsync(asked), { sent: false })
  await new Promise(resolve => setTimeout(resolve, 50))
  t.is(server.bytes, 0)
  t.notThrows(() => clock.advance(1000))
})
