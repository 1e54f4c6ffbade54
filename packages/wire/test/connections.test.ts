/** Which answers count as complete, by their framing and the end of the connection, and when connections are reused. */
import { createServer, type Server, type Socket } from 'node:net'
import test from 'ava'
import { ManualClock, SystemClock } from '@eiderwind/clock'
import { block } from '@eiderwind/clock/testing'
import { Collector, Connections, Receiver, ask, type AnswerHeaders, type CallFailure, type Flow } from '../src/index.js'

const clock = new SystemClock()

/** Waits for the turns of the event loop after which a connection may be reused. */
async function passTurns (): Promise<void> {
  for (let turn = 0; turn < 4; turn++) await new Promise(resolve => setImmediate(resolve))
}

/** Starts a server that calls `answer` for each request. */
async function startUpstream (answer: (socket: Socket, count: number) => void): Promise<{ origin: string, server: Server, sockets: () => number }> {
  let count = 0
  let sockets = 0
  const server = createServer(socket => {
    sockets++
    socket.on('error', () => {})
    socket.on('data', () => answer(socket, ++count))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return { origin: `http://127.0.0.1:${(server.address() as { port: number }).port}`, server, sockets: () => sockets }
}

async function call (connections: Connections, origin: string): Promise<string> {
  const answer = await ask(connections, clock, { origin, path: '/', method: 'GET', headers: {}, body: undefined }, 3000)
  return answer.body.toString()
}

/** A port below the range that the system assigns, so that no other process listens on it. */
const closedPortOrigin = 'http://127.0.0.1:1'

const completeAnswer = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'

/** What the upstream writes, how it ends the connection, and the body if the answer counts as complete. */
const cases: ReadonlyArray<readonly [name: string, text: string, end: 'close' | 'reset' | 'keep', body: string | undefined]> = [
  ['a length, connection stays open', completeAnswer, 'keep', 'ok'],
  ['a length, closed after the body', completeAnswer, 'close', 'ok'],
  ['a length, closed within the body', 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok', 'close', undefined],
  ['a length and connection: close, closed within the body', 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 9\r\n\r\nok', 'close', undefined],
  ['no length, closed', 'HTTP/1.1 200 OK\r\n\r\nok', 'close', 'ok'],
  ['no length, reset', 'HTTP/1.1 200 OK\r\n\r\nok', 'reset', undefined],
  ['no length but connection: close, reset', 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nok', 'reset', undefined],
  ['chunks and the last chunk, closed', 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n', 'close', 'ok'],
  ['chunks without the last chunk, closed', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n', 'close', undefined],
  ['chunks without the last chunk, connection: close, closed', 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n', 'close', undefined],
  ['chunks without the last chunk, connection: close, reset', 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n', 'reset', undefined],
  ['status 304 and a length, closed', 'HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n', 'close', ''],
  ['status 304 and a length, connection stays open', 'HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n', 'keep', ''],
  ['status 304 and a length, closed within the head', 'HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n', 'close', undefined],
  ['bytes that are not HTTP', 'nonsense\r\n\r\n', 'keep', undefined]
]

for (const [name, text, end, body] of cases) {
  test(`an answer with ${name}: ${body === undefined ? 'incomplete' : 'complete'}`, async t => {
    const { origin, server } = await startUpstream(socket => {
      socket.write(text, () => {
        if (end === 'close') socket.end()
        // The reset is sent only after the client has received the bytes before it.
        else if (end === 'reset') setImmediate(() => setImmediate(() => setTimeout(() => socket.resetAndDestroy(), 30)))
      })
    })
    const connections = new Connections()
    if (body === undefined) await t.throwsAsync(call(connections, origin))
    else t.is(await call(connections, origin), body)
    connections.close()
    server.close()
  })
}

test('an answer without a length is incomplete if a reset arrives with its last bytes, and complete if a close does', async t => {
  for (const [end, body] of [['reset', undefined], ['close', 'ok']] as const) {
    const { origin, server } = await startUpstream(socket => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nok', () => setImmediate(() => end === 'reset' ? socket.resetAndDestroy() : socket.end()))
    })
    const connections = new Connections()
    const outcomes = await Promise.all(Array.from({ length: 100 }, async () => await call(connections, origin).catch(() => undefined)))
    t.deepEqual(new Set(outcomes), new Set([body]), end)
    connections.close()
    server.close()
  }
})

test('a connection with bytes after the answer is not reused', async t => {
  const { origin, server, sockets } = await startUpstream((socket, count) => socket.write(count === 1 ? completeAnswer + completeAnswer : completeAnswer))
  const connections = new Connections()
  t.is(await call(connections, origin), 'ok')
  await passTurns()
  t.is(await call(connections, origin), 'ok')
  t.is(sockets(), 2)
  connections.close()
  server.close()
})

test('a connection is reused after a complete answer', async t => {
  const { origin, server, sockets } = await startUpstream(socket => socket.write(completeAnswer))
  const connections = new Connections()
  for (let index = 0; index < 3; index++) {
    t.is(await call(connections, origin), 'ok')
    await passTurns()
  }
  t.is(sockets(), 1)
  connections.close()
  server.close()
})

test('a call to a port on which no process listens fails as refused and not sent', async t => {
  const error = await t.throwsAsync(call(new Connections(), closedPortOrigin))
  t.like(error, { sent: false, refused: true })
})

/** Origins that the client library does not accept. */
const oddOrigins = ['http://127.0.0.1:99999', 'http://ho?st#x:80', 'http://[::', 'http://x y:80', 'http://\\\\:80', 'text', '']

// Guards against: an address that is none ended the process, by the time-out of a call that was never sent (FAULT).
test('a call to an origin that cannot be called fails once, right after send and as not sent, and nothing is left of it', async t => {
  const connections = new Connections()
  const manual = new ManualClock()
  for (const origin of oddOrigins) {
    let failures = 0
    const receiver = new Collector({ whole: () => t.fail(), failed: ({ sent }) => { failures += sent ? 2 : 1 } })
    const cancel = connections.send({ origin, path: '/', method: 'GET', headers: {}, body: undefined }, receiver)
    t.is(failures, 0, origin)
    await Promise.resolve()
    t.is(failures, 1, origin)
    cancel(new Error('The caller left.'))
    t.is(failures, 1, origin)
    const abort = new AbortController()
    const asked = ask(connections, manual, { origin, path: '/', method: 'GET', headers: {}, body: undefined }, 500, { signal: abort.signal })
    t.like(await t.throwsAsync(asked), { sent: false, refused: false, expired: false }, origin)
    t.notThrows(() => manual.advance(1000))
    abort.abort()
  }
  t.is(connections.count, 0)
  t.is(connections.opened, 0)
})

/** Reads an answer at once, or after a pause of 50 ms. */
class PausingReceiver extends Receiver {
  readonly #pauses: boolean
  readonly #ended: () => void

  constructor (pauses: boolean, ended: () => void) {
    super()
    this.#pauses = pauses
    this.#ended = ended
  }

  head (_status: number, _headers: AnswerHeaders, flow: Flow): void {
    if (!this.#pauses) return
    flow.pause()
    setTimeout(() => flow.resume(), 50)
  }

  data (): void {}

  end (): void {
    this.#ended()
  }

  fail ({ error }: CallFailure): void {
    throw error
  }
}

for (const [how, pauses, count] of [['was paused is not', true, 2], ['was read without a pause is', false, 1]] as const) {
  test(`a connection whose answer ${how} reused`, async t => {
    const { origin, server, sockets } = await startUpstream(socket => socket.write(completeAnswer))
    const connections = new Connections()
    await new Promise<void>(resolve => connections.send({ origin, path: '/', method: 'GET', headers: {}, body: undefined }, new PausingReceiver(pauses, resolve)))
    await passTurns()
    t.is(await call(connections, origin), 'ok')
    t.is(sockets(), count)
    connections.close()
    server.close()
  })
}

// Guards against this failure: the gateway refused a request as not run, because its event loop was delayed for longer
// than a connection may take, although the connection was established meanwhile.
test('a connection that was established during a delay of the event loop does not time out', async t => {
  const { origin, server } = await startUpstream(socket => { socket.write(completeAnswer) })
  const connections = new Connections({ connectTime: 50, idleTime: 1000 })
  const answer = call(connections, origin)
  // The system accepts the connection while this thread is blocked.
  setImmediate(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, 150))
  t.is(await answer, 'ok')
  connections.close()
  server.close()
})

// Guards against this failure: a request that arrived in the turn of the event loop in which an idle connection ended was
// refused as if its upstream were full.
for (const turns of [0, 1]) {
  test.serial(`a call in the turn in which an idle connection ends is sent on another one (${turns === 0 ? 'in a timer' : 'after the sockets are read'})`, async t => {
    const idleTime = 300
    const { origin, server, sockets } = await startUpstream(socket => socket.write(completeAnswer))
    const connections = new Connections({ idleTime })
    t.teardown(() => {
      connections.close()
      server.close()
    })
    t.is(await call(connections, origin), 'ok')
    await passTurns()
    const second = new Promise<string>((resolve, reject) => {
      const send = (): void => { call(connections, origin).then(resolve, reject) }
      // Due after the end of the idle time, and run in the same turn, since the loop is blocked past both.
      setTimeout(() => turns === 0 ? send() : setImmediate(send), idleTime + 100)
    })
    block(idleTime + 300)
    t.is(await second, 'ok')
    t.is(sockets(), 2)
  })
}

/** A receiver that throws at the end of its answer. */
class ThrowingReceiver extends Receiver {
  readonly failures: CallFailure[] = []

  head (): void {}
  data (): void {}

  end (): void {
    throw new Error('the end was not taken')
  }

  fail (failure: CallFailure): void {
    this.failures.push(failure)
  }
}

// Guards against: a request that waits until its deadline, since its receiver failed at the end of the answer (LOST).
test('a receiver that throws at the end of its answer fails', async t => {
  const { origin, server } = await startUpstream(socket => socket.write(completeAnswer))
  const connections = new Connections()
  const receiver = new ThrowingReceiver()
  connections.send({ origin, path: '/', method: 'GET', headers: {}, body: undefined }, receiver)
  while (receiver.failures.length === 0) await new Promise(resolve => setTimeout(resolve, 5))
  t.like(receiver.failures[0], { sent: true, error: { message: 'the end was not taken' } })
  connections.close()
  server.close()
})

// Guards against: calls of a worker to an upstream whose URL names no port went to port 0.
test('an origin without a port has the port of its scheme', async t => {
  const error = await t.throwsAsync(call(new Connections(), 'http://127.0.0.1'))
  t.regex(error.message, /127\.0\.0\.1:80$/)
})

// Guards against: a request to an upstream with https was sent in plain text.
test('a call to an origin with https sends nothing in plain text', async t => {
  let received = ''
  const { origin, server } = await startUpstream(socket => { socket.end(completeAnswer) })
  server.on('connection', (socket: Socket) => socket.on('data', bytes => { received += bytes.toString('latin1') }))
  await t.throwsAsync(call(new Connections(), origin.replace('http:', 'https:')))
  t.false(received.includes('GET '))
  server.close()
})
