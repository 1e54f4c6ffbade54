/**
 * Guards against a server that is closed while requests lie unread in its sockets or in its queue of connections: the
 * event loop was blocked, or more connections came than it accepts in one turn.
 */
import { connect, type Socket } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { SystemClock } from '@eiderwind/clock'
import { block, loopPhases } from '@eiderwind/clock/testing'
import { listen, makeServer, untilQuiet } from '../src/index.js'

const request = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n'

/** Number of connections, more than are accepted in one turn. */
const count = 20

/** A server that answers at once, and its port. */
async function startServer (t: ExecutionContext): Promise<{ server: ReturnType<typeof makeServer>, port: number }> {
  const server = makeServer({ handler: (_incoming, response) => response.end('x') })
  const port = await listen(server, '127.0.0.1:0')
  t.teardown(() => server.closeAllConnections())
  return { server, port }
}

/** Resolves with the beginning of the next answer, or with `closed` if the connection ends first. */
function nextAnswer (socket: Socket): Promise<string> {
  return new Promise(resolve => {
    socket.once('data', chunk => resolve(String(chunk).slice(0, 12)))
    socket.once('close', () => resolve('closed'))
    socket.once('error', () => resolve('closed'))
  })
}

function open (port: number): Promise<Socket> {
  return new Promise(resolve => {
    const socket = connect(port, '127.0.0.1', () => resolve(socket))
  })
}

/** Closes a server once it is quiet, at most `time` ms from now. Returns whether it was. */
async function closeOnceQuiet (server: ReturnType<typeof makeServer>, time = 2000, isAnswered = (): boolean => true): Promise<boolean> {
  const clock = new SystemClock()
  const isQuiet = await untilQuiet(server, { clock, until: clock.now() + time, isAnswered })
  server.close()
  server.closeIdleConnections()
  return isQuiet
}

for (const phase of loopPhases) {
  test.serial(`a request on a kept connection that arrived while the loop was blocked in its ${phase} phase is answered before the server closes`, async t => {
    const { server, port } = await startServer(t)
    const socket = await open(port)
    socket.write(request)
    t.is(await nextAnswer(socket), 'HTTP/1.1 200')
    const answer = nextAnswer(socket)
    await new Promise<void>(resolve => {
      const run = (): void => {
        socket.write(request)
        block(300)
        resolve()
      }
      if (phase === 'timers') setTimeout(run, 0)
      else if (phase === 'poll') socket.once('drain', run).emit('drain')
      else setImmediate(run)
    })
    t.true(await closeOnceQuiet(server))
    t.is(await answer, 'HTTP/1.1 200')
  })
}

test.serial('requests on connections that were not accepted yet are answered before the server closes', async t => {
  const { server, port } = await startServer(t)
  const answers = Array.from({ length: count }, async () => {
    const socket = connect(port, '127.0.0.1')
    socket.write(request)
    return await nextAnswer(socket)
  })
  t.true(await closeOnceQuiet(server))
  t.deepEqual(await Promise.all(answers), Array.from({ length: count }, () => 'HTTP/1.1 200'))
})

test.serial('the wait ends in time while a request is unanswered', async t => {
  const { server } = await startServer(t)
  const begun = performance.now()
  t.false(await closeOnceQuiet(server, 200, () => false))
  const time = performance.now() - begun
  t.true(time >= 195 && time < 1000, `${time}`)
})

// Guards against a turn that was long because the process was paused: what arrived in it may lie unread.
test.serial('a turn in which the loop was blocked does not show that nothing is to be read', async t => {
  const { server, port } = await startServer(t)
  const socket = await open(port)
  socket.write(request)
  await nextAnswer(socket)
  const answer = nextAnswer(socket)
  // This immediate runs before that of the second turn of the wait.
  setImmediate(() => setImmediate(() => {
    socket.write(request)
    block(300)
  }))
  t.true(await closeOnceQuiet(server))
  t.is(await answer, 'HTTP/1.1 200')
})

// Guards against a wait whose end passes in a pause of the process: the requests that arrived meanwhile are not read (LOST).
test.serial('a request on a kept connection that arrived while the loop was blocked past the end of the wait is answered', async t => {
  const { server, port } = await startServer(t)
  const socket = await open(port)
  socket.write(request)
  await nextAnswer(socket)
  const answer = nextAnswer(socket)
  setImmediate(() => setImmediate(() => {
    socket.write(request)
    block(300)
  }))
  await closeOnceQuiet(server, 100)
  t.is(await answer, 'HTTP/1.1 200')
})

// Guards against the same on connections that wait to be accepted, of which a turn accepts one.
test.serial('requests on connections that arrived while the loop was blocked past the end of the wait are answered', async t => {
  const { server, port } = await startServer(t)
  const answers: Array<Promise<string>> = []
  setImmediate(() => setImmediate(() => {
    for (let index = 0; index < count; index++) {
      const socket = connect(port, '127.0.0.1')
      socket.write(request)
      answers.push(nextAnswer(socket))
    }
    block(300)
  }))
  await closeOnceQuiet(server, 100)
  t.deepEqual(await Promise.all(answers), Array.from({ length: count }, () => 'HTTP/1.1 200'))
})

// Guards against a wait that goes on while each turn is long.
test.serial('the wait ends soon after its time although each turn is long', async t => {
  const { server } = await startServer(t)
  const blocking = setInterval(() => block(80), 1)
  const begun = performance.now()
  t.false(await closeOnceQuiet(server, 200, () => false))
  clearInterval(blocking)
  const time = performance.now() - begun
  t.true(time >= 195 && time < 1000, `${time}`)
})
