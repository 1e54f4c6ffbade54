/** Answers that break off between an upstream and its worker. The upstream answers with raw bytes over real connections. */
import test, { type ExecutionContext } from 'ava'
import { v7 } from 'uuid'
import { Queue } from '@eiderwind/admit'
import { SystemClock } from '@eiderwind/clock'
import { Attempts, Book } from '@eiderwind/run'
import { listen, makeServer, readBody, type Handler } from '@eiderwind/wire'
import { answerForms, faultOf, receive, sendForm, titleOf } from '@eiderwind/wire/testing'
import { workerBoard } from '../src/facts.js'
import { Flights } from '../src/flights.js'
import { type Head } from '../src/head.js'
import { readInbound, type InboundRequest } from '../src/inbound.js'
import { ModelPath } from '../src/model.js'
import { PlainPath } from '../src/plain.js'
import { Sessions } from '../src/sessions.js'
import { EngineUpstream, PlainUpstream } from '../src/upstream.js'

const clock = new SystemClock()
const bodyLimit = 1000

/** What serves the requests of a worker. */
interface RequestPath {
  serve (inbound: InboundRequest): Promise<void>
}

async function serveAt (t: ExecutionContext, handler: Handler): Promise<number> {
  const server = makeServer({ handler })
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  return await listen(server, '127.0.0.1:0')
}

function plainPath (t: ExecutionContext, url: string): RequestPath {
  const board = workerBoard()
  board.write('serving', true)
  const upstream = new PlainUpstream(clock, url, undefined)
  t.teardown(() => upstream.close())
  const book = new Book(-Infinity, 1)
  return new PlainPath({ clock, board, queue: new Queue(clock, { concurrency: 1, queue: 1 }), attempts: new Attempts(), upstream, book: () => book })
}

function modelPath (t: ExecutionContext, url: string): RequestPath {
  const upstream = new EngineUpstream(clock, url, '/health')
  t.teardown(() => upstream.close())
  const head = { isServing: true, mayContinue: true } as unknown as Head
  return new ModelPath({ clock, queue: new Queue(clock, { concurrency: 1, queue: 1 }), attempts: new Attempts(), upstream, flights: new Flights(), head, sessions: new Sessions(clock) })
}

const paths: ReadonlyArray<{ readonly title: string, readonly make: (t: ExecutionContext, url: string) => RequestPath, readonly headers: Record<string, string> }> = [
  { title: 'of a plain service', make: plainPath, headers: {} },
  { title: 'to a request with a key', make: plainPath, headers: { 'eiderwind-key': v7() } },
  { title: 'of an engine', make: modelPath, headers: {} }
]

/** Starts a worker with this upstream, and returns its port. */
async function startWorker (t: ExecutionContext, upstream: Handler, make: (typeof paths)[number]['make']): Promise<number> {
  const upstreamPort = await serveAt(t, upstream)
  const path = make(t, `http://127.0.0.1:${upstreamPort}`)
  return await serveAt(t, async (request, response) => {
    const body = await readBody(request, bodyLimit)
    await path.serve(readInbound(request, response, body.unwrap(), clock))
  })
}

// Guards against: an answer of an upstream that broke off left its worker framed as whole (MIXED).
for (const { title, make, headers } of paths) {
  for (const form of answerForms) {
    test(`an answer ${title} with ${titleOf(form)}, leaves the worker as it is`, async t => {
      const port = await startWorker(t, request => sendForm(form, request, 'content-type: text/plain'), make)
      const received = await receive({ port, method: 'POST', path: '/x', headers: { ...headers, 'eiderwind-attempt': v7() }, body: 'x' })
      t.is(faultOf(form, received), undefined)
    })
  }
}

// Guards against: a stream that its engine sent with a length lost its last bytes, since its events were numbered (MIXED).
test('a stream that the engine sends with a length reaches the entry whole', async t => {
  const events = 'data: one\n\ndata: two\n\n'
  const port = await startWorker(t, (_request, response) => { response.setHeader('content-length', events.length).end(events) }, modelPath)
  const received = await receive({ port, method: 'POST', path: '/x', headers: { 'eiderwind-attempt': v7() }, body: JSON.stringify({ stream: true }) })
  t.deepEqual(received, { status: 200, body: 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n', framed: true, whole: true })
})
