/**
 * Guards against kept connections that a server closes with a request unread: their idle time ended while its event
 * loop was blocked, after the request had arrived.
 */
import { createServer, type RequestListener } from 'node:http'
import { connect, type Socket } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { block, loopPhases, type LoopPhase } from '@eiderwind/clock/testing'
import { closeIdleConnections, listen, makeServer, serve } from '../src/index.js'

const request = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n'

/** Idle time of the server's connections, in ms. */
const idleTime = 150

/** Time for the head of a request, and the interval at which Node.js checks it, in ms. */
const headerTime = 600
const checkInterval = 100

/** Resolves with the next bytes of the socket, or with `closed` if it ends first. */
function nextAnswer (socket: Socket): Promise<string> {
  return new Promise(resolve => {
    socket.once('data', chunk => resolve(String(chunk)))
    socket.once('close', () => resolve('closed'))
    socket.once('error', () => resolve('closed'))
  })
}

/** Writes a request and then blocks the loop for `span` ms, both in the given phase. */
function writeAndBlock (socket: Socket, phase: LoopPhase, span: number): void {
  const run = (): void => {
    socket.write(request)
    block(span)
  }
  if (phase === 'timers') setTimeout(run, 0)
  else if (phase === 'poll') socket.once('drain', run).emit('drain')
  else setImmediate(run)
}

for (const phase of loopPhases) {
  test.serial(`a request on a kept connection is answered although the idle time ended while the loop was blocked in its ${phase} phase`, async t => {
    const server = makeServer({ handler: (_incoming, response) => response.end('x') })
    server.keepAliveTimeout = idleTime
    const port = await listen(server, '127.0.0.1:0')
    t.teardown(() => server.closeAllConnections())
    const socket = connect(port, '127.0.0.1')
    socket.write(request)
    t.regex(await nextAnswer(socket), /^HTTP\/1.1 200/)
    writeAndBlock(socket, phase, 1300)
    t.regex(await nextAnswer(socket), /^HTTP\/1.1 200/)
    server.close()
  })
}

test.serial('an idle connection is closed after its idle time', async t => {
  const server = makeServer({ handler: (_incoming, response) => response.end('x') })
  server.keepAliveTimeout = idleTime
  const port = await listen(server, '127.0.0.1:0')
  t.teardown(() => server.close())
  const socket = connect(port, '127.0.0.1')
  socket.write(request)
  await nextAnswer(socket)
  t.is(await nextAnswer(socket), 'closed')
})

test.serial('a request that has arrived before the header time-out is answered although the loop was blocked past it', async t => {
  // As the gateway makes its server for callers.
  const server = createServer({ connectionsCheckingInterval: checkInterval, requestTimeout: 0 }, (_incoming, response) => response.end('x'))
  server.headersTimeout = headerTime
  closeIdleConnections(server)
  const port = await listen(server, '127.0.0.1:0')
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  const socket = connect(port, '127.0.0.1')
  await new Promise(resolve => server.once('connection', resolve))
  await new Promise(resolve => setImmediate(resolve))
  writeAndBlock(socket, 'check', headerTime + 2 * checkInterval)
  t.regex(await nextAnswer(socket), /^HTTP\/1.1 200/)
})

test.serial('nothing is written into an answer in flight of a server whose handler was replaced', async t => {
  const server = makeServer()
  serve(server, { handler: (_incoming, response) => { response.write('first') } })
  const port = await listen(server, '127.0.0.1:0')
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  const socket = connect(port, '127.0.0.1')
  socket.write(request)
  t.regex(await nextAnswer(socket), /first/)
  socket.write('x\r\n\r\n')
  t.is(await nextAnswer(socket), 'closed')
})

/** A server whose heads must arrive within `headerTime`, and a connection to it. */
async function connectForHead (t: ExecutionContext, answer: RequestListener): Promise<Socket> {
  const server = createServer({ connectionsCheckingInterval: checkInterval, requestTimeout: 0 }, answer)
  server.headersTimeout = headerTime
  closeIdleConnections(server)
  const port = await listen(server, '127.0.0.1:0')
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  return connect(port, '127.0.0.1')
}

test.serial('a head that is still incomplete after its time is refused, also if bytes of it keep arriving', async t => {
  const socket = await connectForHead(t, (_incoming, response) => response.end('x'))
  socket.write('GET / HTTP/1.1\r\n')
  const writing = setInterval(() => socket.write('a: b\r\n'), checkInterval / 10)
  t.regex(await nextAnswer(socket), /^HTTP\/1.1 408 Request Timeout/)
  clearInterval(writing)
  t.is(await nextAnswer(socket), 'closed')
})

for (const [title, malformed, status] of [['malformed', 'x\r\n\r\n', 400], ['too large', `GET / HTTP/1.1\r\na: ${'b'.repeat(20_000)}\r\n\r\n`, 431]] as const) {
  test.serial(`a head that is ${title} is refused with ${status}`, async t => {
    const socket = await connectForHead(t, (_incoming, response) => response.end('x'))
    socket.write(malformed)
    t.regex(await nextAnswer(socket), new RegExp(`^HTTP/1.1 ${status} `))
    t.is(await nextAnswer(socket), 'closed')
  })
}

test.serial('nothing is written into an answer in flight when the next request on its connection is malformed', async t => {
  const socket = await connectForHead(t, (_incoming, response) => { response.write('first') })
  socket.write(request)
  t.regex(await nextAnswer(socket), /first/)
  socket.write('x\r\n\r\n')
  t.is(await nextAnswer(socket), 'closed')
})

// Guards against: a connection that cannot be accepted, for lack of descriptors or memory, ends the process (FAULT).
test('a server goes on after an error of one connection', async t => {
  const server = makeServer()
  const port = await listen(server, '127.0.0.1:0')
  t.notThrows(() => server.emit('error', new Error('accept ENFILE')))
  t.is((await fetch(`http://127.0.0.1:${port}/`)).status, 404)
  server.close()
})
