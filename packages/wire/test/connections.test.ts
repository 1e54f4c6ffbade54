/** Which answers count as whole, whatever an upstream does with its connection. */
import { createServer, type Server, type Socket } from 'node:net'
import test from 'ava'
import { SystemClock } from '@eiderwind/clock'
import { Connections, Receiver, ask, type AnswerHeaders, type CallFailure, type Flow } from '../src/index.js'

const clock = new SystemClock()

/** Lets the turns pass after which a connection may be used again. */
async function settle (): Promise<void> {
  for (let turn = 0; turn < 4; turn++) await new Promise(resolve => setImmediate(resolve))
}

/** A server that answers each request with what `answer` writes. */
async function upstream (answer: (socket: Socket, count: number) => void): Promise<{ origin: string, server: Server, sockets: () => number }> {
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

/** A port below those that the system gives out, so that no other process listens there. */
const nobodyListens = 'http://127.0.0.1:1'

const whole = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'

/** What the upstream writes, how it ends the connection, and the body that counts as whole, if any does. */
const cases: ReadonlyArray<readonly [name: string, text: string, end: 'close' | 'reset' | 'keep', body: string | undefined]> = [
  ['a length, kept open', whole, 'keep', 'ok'],
  ['a length, closed after it', whole, 'close', 'ok'],
  ['a length, closed before its end', 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok', 'close', undefined],
  ['a length, to be closed, closed before its end', 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 9\r\n\r\nok', 'close', undefined],
  ['no length, closed', 'HTTP/1.1 200 OK\r\n\r\nok', 'close', 'ok'],
  ['no length, reset', 'HTTP/1.1 200 OK\r\n\r\nok', 'reset', undefined],
  ['no length, to be closed, reset', 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nok', 'reset', undefined],
  ['chunks with their end', 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n', 'close', 'ok'],
  ['chunks without their end, closed', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n', 'close', undefined],
  ['chunks without their end, to be closed, closed', 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n', 'close', undefined],
  ['chunks without their end, to be closed, reset', 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n', 'reset', undefined],
  ['bytes that are no answer', 'nonsense\r\n\r\n', 'keep', undefined]
]

for (const [name, text, end, body] of cases) {
  test(`${name}: ${body === undefined ? 'not whole' : 'whole'}`, async t => {
    const { origin, server } = await upstream(socket => {
      socket.write(text, () => {
        if (end === 'close') socket.end()
        // The reset goes out only after the client has the bytes before it.
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

test('an answer without a length that is reset together with its last bytes is not whole, and one that is closed so is', async t => {
  for (const [end, body] of [['reset', undefined], ['close', 'ok']] as const) {
    const { origin, server } = await upstream(socket => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nok', () => setImmediate(() => end === 'reset' ? socket.resetAndDestroy() : socket.end()))
    })
    const connections = new Connections()
    const outcomes = await Promise.all(Array.from({ length: 100 }, async () => await call(connections, origin).catch(() => undefined)))
    t.deepEqual(new Set(outcomes), new Set([body]), end)
    connections.close()
    server.close()
  }
})

test('bytes behind an answer belong to no request: the connection is not used again', async t => {
  const { origin, server, sockets } = await upstream((socket, count) => socket.write(count === 1 ? whole + whole : whole))
  const connections = new Connections()
  t.is(await call(connections, origin), 'ok')
  await settle()
  t.is(await call(connections, origin), 'ok')
  t.is(sockets(), 2)
  connections.close()
  server.close()
})

test('a connection is used again after a whole answer, and a fresh one where that is asked for', async t => {
  const { origin, server, sockets } = await upstream(socket => socket.write(whole))
  const connections = new Connections()
  for (let index = 0; index < 3; index++) {
    t.is(await call(connections, origin), 'ok')
    await settle()
  }
  t.is(sockets(), 1)
  connections.close()
  server.close()
})

test('a call that nobody takes was not sent', async t => {
  const error = await t.throwsAsync(call(new Connections(), nobodyListens))
  t.like(error, { sent: false, refused: true })
})

/** Reads an answer at once, or not before a while. */
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

for (const [how, pauses, count] of [['was paused is not', true, 2], ['was read as it came is', false, 1]] as const) {
  test(`a connection whose answer ${how} used again`, async t => {
    const { origin, server, sockets } = await upstream(socket => socket.write(whole))
    const connections = new Connections()
    await new Promise<void>(resolve => connections.send({ origin, path: '/', method: 'GET', headers: {}, body: undefined }, new PausingReceiver(pauses, resolve)))
    await settle()
    t.is(await call(connections, origin), 'ok')
    t.is(sockets(), count)
    connections.close()
    server.close()
  })
}
