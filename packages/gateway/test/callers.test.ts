/**
 * Guards against a caller whose connection is closed without an answer because handling its request fails by an error
 * of this program.
 */
import { once } from 'node:events'
import { connect } from 'node:net'
import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http'
import { SystemClock } from '@eiderwind/clock'
import { Pauses } from '@eiderwind/detect'
import { type Context, type Deliveries } from '@eiderwind/forward'
import { Log } from '@eiderwind/log'
import { listen } from '@eiderwind/wire'
import test, { type ExecutionContext } from 'ava'
import { Bodies } from '../src/bodies.js'
import { Callers, type CallersOptions } from '../src/callers.js'
import { gatewayBoard, type ConfigurationInForce } from '../src/facts.js'

const route = { name: 'r', host: 'a', prefix: '/', kind: 'repeatable', shares: [{ service: 's', share: 1 }], open: true, timeout: 1000, attempts: 1 }

/** Where handling a request fails, or what is answered before it does. */
interface Failing {
  readonly find?: () => unknown
  readonly open?: Deliveries['open']
  readonly bodies?: Bodies
  /** Holds each admitted request instead of failing it. */
  readonly held?: boolean
}

function fail (): never {
  throw new Error('a part failed')
}

/** Callers of which each request fails, with the address and the log lines. */
async function startCallers (t: ExecutionContext, { find = () => route, open = (() => ({})) as unknown as Deliveries['open'], bodies = new Bodies(1000), held = false }: Failing): Promise<{ callers: Callers, port: number, lines: string[] }> {
  const clock = new SystemClock()
  const lines: string[] = []
  const board = gatewayBoard()
  const limits = { header: 1000, body: 1000, headerTime: 1000, idleTime: 1000 }
  board.write('inForce', { traffic: { revision: 1, limits, services: [], routes: [] }, routes: { find }, teams: undefined, since: 0 } as unknown as ConfigurationInForce)
  const context = {
    clock,
    log: new Log({ sink: (line: unknown) => lines.push(String(line)) }),
    roster: { hasList: true },
    names: { request: 'x-request', deadline: 'x-deadline', key: 'x-key', model: 'x-model', parts: 'x-parts' },
    retryBudget: held ? () => ({ countRequest: () => {} }) : fail,
    sendGate: { opened: new Promise(() => {}), isClosed: true }
  } as unknown as Context
  const port = await freePort()
  const options = { context, board, pauses: new Pauses(clock), address: `127.0.0.1:${port}`, strictKeys: false, random: () => 0, bodies, deliveries: { open }, refused: () => {}, ended: () => {} }
  const callers = new Callers(options as unknown as CallersOptions)
  await callers.start()
  t.teardown(async () => await callers.close(clock.now()))
  return { callers, port, lines }
}

async function freePort (): Promise<number> {
  const server = createServer()
  const port = await listen(server, '127.0.0.1:0')
  server.close()
  await once(server, 'close')
  return port
}

/** Sends a request. Resolves with the answer and its body, or with undefined if none began. */
function send (port: number): Promise<{ answer: IncomingMessage, body: string } | undefined> {
  return new Promise(resolve => {
    const sent = request({ host: '127.0.0.1', port, path: '/', method: 'POST', headers: { host: 'a', 'x-request': 'id-1' } }, answer => {
      let body = ''
      const end = (): void => resolve({ answer, body })
      answer.setEncoding('utf8').on('data', (text: string) => { body += text }).on('end', end).on('error', end)
    })
    sent.on('error', () => resolve(undefined))
    sent.end('x')
  })
}

for (const [where, failing] of [['admitting it', { find: fail }], ['serving it', {}]] as const) {
  test(`a request gets a 500 and is ended if ${where} fails`, async t => {
    const { callers, port, lines } = await startCallers(t, failing)
    const { answer, body } = await send(port) ?? {}
    t.is(answer?.statusCode, 500)
    t.is(answer?.headers.connection, 'close')
    t.is(answer?.headers['x-request'], 'id-1')
    t.like(JSON.parse(body ?? ''), { error: { code: 'internal', outcome: 'not-run' } })
    t.is(callers.open, 0)
    t.is(lines.filter(line => line.includes('"name":"request-failed"') && line.includes('id-1') && line.includes('a part failed')).length, 1)
  })
}

test('an answer that has begun is broken off if serving the request fails', async t => {
  const { callers, port } = await startCallers(t, {
    open: ((response: ServerResponse) => {
      response.writeHead(200)
      response.write('part')
      return {}
    }) as unknown as Deliveries['open']
  })
  const received = await send(port)
  // The connection may close before the first part is sent.
  if (received !== undefined) t.is(received.answer.statusCode, 200)
  t.not(received?.answer.complete, true)
  t.is(callers.open, 0)
})

/** Sends requests on one connection at once, and drops it after `time` ms. */
async function sendPipelined (port: number, text: string, time: number): Promise<void> {
  const socket = connect(port, '127.0.0.1')
  socket.on('error', () => {})
  socket.write(text)
  await new Promise(resolve => setTimeout(resolve, time))
  socket.destroy()
}

// Guards against: a caller that drops its connection takes room for bodies until a restart, and others get 429.
test('the room of a request that waits behind another one on its connection is free again when the connection is dropped', async t => {
  const bodies = new Bodies(1000)
  const { port } = await startCallers(t, { bodies, held: true })
  const first = 'GET /a HTTP/1.1\r\nhost: a\r\nx-request: r1\r\n\r\n'
  const second = `POST /a HTTP/1.1\r\nhost: a\r\nx-request: r2\r\ncontent-length: 900\r\n\r\n${'x'.repeat(900)}`
  const sent = sendPipelined(port, first + second, 100)
  await new Promise(resolve => setTimeout(resolve, 50))
  t.is(bodies.held, 900)
  await sent
  await new Promise(resolve => setTimeout(resolve, 50))
  t.is(bodies.held, 0)
})
