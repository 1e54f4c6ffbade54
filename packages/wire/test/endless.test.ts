/**
 * Guards against upstreams that send bytes without end that are no answer: a call must not occupy memory without bound,
 * and its connection is closed as soon as the bytes exceed what an answer may have around its body.
 */
import { createServer, type Socket } from 'node:net'
import test from 'ava'
import { SystemClock } from '@eiderwind/clock'
import { Connections, Receiver, ask } from '../src/index.js'

const clock = new SystemClock()

/** The time-out of a call, in ms. All connections are closed long before. */
const timeout = 5000

/**
 * Upper bounds on what an upstream can send before its connection is closed, in bytes: without a body, and with one, of
 * which the caller stores 64 MiB. The system buffers a part of it.
 */
const maxSent = 24 * 2 ** 20
const maxSentWithBody = maxSent + 64 * 2 ** 20

/** What an upstream sends: a beginning, and a piece that it repeats until the connection ends. */
interface EndlessAnswer {
  readonly name: string
  readonly first: string
  readonly repeated: string
}

const filler = 'a'.repeat(1000)

const answers: readonly EndlessAnswer[] = [
  { name: 'empty lines before the head', first: '', repeated: '\r\n' },
  { name: 'a status line', first: 'HTTP/1.1 200 ', repeated: filler },
  { name: 'a name of a header', first: 'HTTP/1.1 200 OK\r\n', repeated: filler },
  { name: 'a value of a header', first: 'HTTP/1.1 200 OK\r\nname: ', repeated: filler },
  { name: 'blanks before a value', first: 'HTTP/1.1 200 OK\r\nname:', repeated: ' ' },
  { name: 'headers', first: 'HTTP/1.1 200 OK\r\n', repeated: 'name: value\r\n' },
  { name: 'informational heads', first: '', repeated: 'HTTP/1.1 103 Early Hints\r\nname: value\r\n\r\n' },
  { name: 'a chunk size', first: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n', repeated: '0' },
  { name: 'a chunk extension', first: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;', repeated: filler },
  { name: 'trailers', first: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n', repeated: 'name: value\r\n' },
  { name: 'a body with a length', first: `HTTP/1.1 200 OK\r\ncontent-length: ${2 ** 40}\r\n\r\n`, repeated: filler },
  { name: 'a body in chunks', first: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n', repeated: `3e8\r\n${filler}\r\n` },
  { name: 'a body without a length', first: 'HTTP/1.1 200 OK\r\n\r\n', repeated: filler },
  { name: 'bytes that are not HTTP', first: '', repeated: 'nonsense ' }
]

/** Writes a piece to a socket again and again, as fast as the other side reads. */
function sendEndlessly (socket: Socket, first: string, repeated: string): void {
  const piece = Buffer.from(repeated.repeat(Math.ceil(65_536 / repeated.length)))
  const write = (): void => {
    while (!socket.destroyed && socket.write(piece));
  }
  socket.write(first)
  socket.on('drain', write)
  write()
}

interface Upstream {
  readonly origin: string
  readonly sockets: readonly Socket[]
  stop (): void
}

async function startUpstream (serve: (socket: Socket) => void): Promise<Upstream> {
  const sockets: Socket[] = []
  const server = createServer(socket => {
    sockets.push(socket)
    socket.on('error', () => { /* The connection is reset by the caller. */ })
    socket.once('data', () => serve(socket))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return { origin: `http://127.0.0.1:${(server.address() as { port: number }).port}`, sockets, stop: () => server.close() }
}

for (const { name, first, repeated } of answers) {
  test.serial(`an upstream that sends ${name} without end: the call fails early and the connection is closed`, async t => {
    const upstream = await startUpstream(socket => sendEndlessly(socket, first, repeated))
    const connections = new Connections()
    const startedAt = performance.now()
    const error = await t.throwsAsync(ask(connections, clock, { origin: upstream.origin, path: '/', method: 'GET', headers: {}, body: undefined }, timeout))
    t.log(`${Math.round(performance.now() - startedAt)} ms, ${upstream.sockets[0].bytesWritten} bytes: ${String(error)}`)
    t.true(performance.now() - startedAt < timeout / 2)
    await new Promise(resolve => setTimeout(resolve, 50))
    t.true(upstream.sockets.every(each => each.destroyed))
    t.true(upstream.sockets.every(each => each.bytesWritten < (name.startsWith('a body') ? maxSentWithBody : maxSent)))
    t.is(connections.count, 0)
    connections.close()
    upstream.stop()
  })
}

/** Records the statuses of an answer's heads. */
class HeadRecorder extends Receiver {
  readonly statuses: number[] = []
  readonly ended: Promise<void>
  #resolve: () => void = () => {}

  constructor () {
    super()
    this.ended = new Promise(resolve => { this.#resolve = resolve })
  }

  head (status: number): void {
    this.statuses.push(status)
  }

  data (): void {}

  end (): void {
    this.#resolve()
  }

  fail (): void {
    this.#resolve()
  }
}

/** Informational heads used to be taken for the answer, which then belonged to no request. */
test.serial('informational heads before an answer are not taken for it', async t => {
  const upstream = await startUpstream(socket => socket.write('HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'))
  const connections = new Connections()
  const recorder = new HeadRecorder()
  connections.send({ origin: upstream.origin, path: '/', method: 'GET', headers: {}, body: undefined }, recorder)
  await recorder.ended
  t.deepEqual(recorder.statuses, [200])
  connections.close()
  upstream.stop()
})

test.serial('an answer in chunks of one byte is complete', async t => {
  const length = 100_000
  const upstream = await startUpstream(socket => socket.write(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${'1\r\na\r\n'.repeat(length)}0\r\n\r\n`))
  const connections = new Connections()
  const { body } = await ask(connections, clock, { origin: upstream.origin, path: '/', method: 'GET', headers: {}, body: undefined }, timeout)
  t.is(body.length, length)
  connections.close()
  upstream.stop()
})
