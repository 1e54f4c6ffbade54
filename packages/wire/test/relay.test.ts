/** Answers that are forwarded while their guard allows it. */
import test, { type ExecutionContext } from 'ava'
import { Connections, Relay, listen, makeServer, type Handler } from '../src/index.js'
import { receive } from './testing.js'

/** Time within which an answer ends, in ms. */
const maxTime = 5000

async function serveAt (t: ExecutionContext, handler: Handler): Promise<number> {
  const server = makeServer({ handler })
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  return await listen(server, '127.0.0.1:0')
}

// Guards against: an answer whose guard refused its end was neither ended nor broken off, and held its place (LOST).
test('an answer that may no longer be forwarded when it ends is broken off, and reported once', async t => {
  t.timeout(maxTime)
  const upstream = await serveAt(t, (_request, response) => {
    response.write('ok')
    response.end()
  })
  const connections = new Connections()
  t.teardown(() => connections.close())
  const reports: boolean[] = []
  const port = await serveAt(t, (_request, response) => {
    let checks = 0
    const relay = new Relay({
      response,
      // The head and the body may be forwarded, the end may not.
      guard: () => ++checks <= 2,
      done: whole => reports.push(whole),
      failed: () => t.fail()
    })
    connections.send({ origin: `http://127.0.0.1:${upstream}`, path: '/', method: 'GET', headers: {}, body: undefined }, relay)
  })
  const received = await receive({ port, method: 'GET', path: '/', headers: {}, body: '' })
  t.false(received.whole)
  t.deepEqual(reports, [false])
})
