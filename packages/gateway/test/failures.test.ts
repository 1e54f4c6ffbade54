/** An error of this program ends one delivery, message or request for figures, and nothing else. */
import { SystemClock } from '@eiderwind/clock'
import { TaskFailures } from '@eiderwind/life'
import { Log } from '@eiderwind/log'
import { listen, makeServer } from '@eiderwind/wire'
import { type Upstream } from '@eiderwind/roster'
import test, { type ExecutionContext } from 'ava'
import { gatewayBoard } from '../src/facts.js'
import { Health } from '../src/health.js'
import { platformListener, type PlatformListenerOptions } from '../src/listener.js'
import { paths } from '../src/messages.js'
import { Metrics, type MetricsOptions } from '../src/metrics.js'
import { PeerServer, type PeerServerOptions } from '../src/peerserver.js'
import { DeliveryError, type PlatformListener } from '../src/platform.js'

function fail (): never {
  throw new Error('a part failed')
}

/** Failures with the lines that they were logged as. */
function recordedFailures (): { readonly failures: TaskFailures, readonly lines: string[] } {
  const lines: string[] = []
  const log = new Log({ sink: line => { lines.push(line) } })
  return { failures: new TaskFailures({ log, now: () => performance.now() }), lines }
}

/** A port that was free a moment ago. */
async function freeAddress (): Promise<string> {
  const server = makeServer()
  const port = await listen(server, '127.0.0.1:0')
  await new Promise(resolve => server.close(resolve))
  return `127.0.0.1:${port}`
}

function assertLogged (t: ExecutionContext, lines: readonly string[], task: string, count: number): void {
  t.deepEqual(lines.map(line => (JSON.parse(line) as { task: string }).task), Array(count).fill(task))
  t.regex(lines[0], /"name":"task-failed","level":"error".*Error: a part failed\\n {4}at fail /)
}

// Guards against: a message between gateways that an error kept from being handled ended the gateway (FAULT).
test('a message of another gateway whose handling throws gets no answer, and the next one is answered', async t => {
  const { failures, lines } = recordedFailures()
  const address = await freeAddress()
  const options = { clock: new SystemClock(), board: gatewayBoard(), address, crashes: { get blocks () { return fail() } }, failures }
  const server = new PeerServer(options as unknown as PeerServerOptions)
  await server.start()
  t.teardown(() => server.stop())
  await t.throwsAsync(fetch(`http://${address}${paths.blocked}`))
  t.is((await fetch(`http://${address}/`)).status, 200)
  assertLogged(t, lines, 'message', 1)
  t.is(failures.count, 1)
})

// Guards against: an error in the definition of "ready" ended the gateway at the balancer's next request (FAULT).
test('a health request whose handling throws is answered 503', async t => {
  const { failures, lines } = recordedFailures()
  const address = await freeAddress()
  const health = new Health(address, fail, failures)
  await health.start()
  t.teardown(() => health.stop())
  for (let count = 0; count < 2; count++) t.is((await fetch(`http://${address}/ready`)).status, 503)
  assertLogged(t, lines, 'health', 2)
})

// Guards against: an error in a gauge was seen by nobody, since the connection was closed without a line.
test('a metrics request whose handling throws is closed and logged', async t => {
  const { failures, lines } = recordedFailures()
  const address = await freeAddress()
  const metrics = new Metrics({ upstreamList: { get age () { return fail() } }, upstreamLimits: {}, failures } as unknown as MetricsOptions)
  await metrics.start(address)
  t.teardown(() => metrics.stop())
  await t.throwsAsync(fetch(`http://${address}/metrics`))
  t.is((await fetch(`http://${address}/other`)).status, 404)
  t.is(failures.count, 1)
  t.regex(lines[0], /"name":"task-failed".*"task":"metrics"/)
})

/** A platform's listener to which each delivery fails. */
function failingListener (failures: TaskFailures): PlatformListener {
  const board = { read: () => undefined, write: fail, listen: fail }
  const failing = { take: fail, setAddresses: fail, recordAnswer: fail, recordFailure: fail }
  const upstreams = { upstreams: fail, upstreamChanges: fail, upstreamsComplete: fail, isSuperseded: () => false, upstreamsRevision: () => 1 }
  const options = { clock: new SystemClock(), log: { write: () => {} }, board, upstreams, outage: failing, peers: failing, conditions: failing, evacuationController: failing, failures }
  return platformListener(options as unknown as PlatformListenerOptions)
}

// Guards against: a list of which a part was not taken counts as complete, so that what it lacks never comes (DRAIN, CONFIG).
test('a delivery of objects that fails is reported and throws, so that it is made again; no other delivery throws', t => {
  const { failures, lines } = recordedFailures()
  const listener = failingListener(failures)
  const upTo = { at: 0, revision: 1 }
  for (const deliver of [
    () => listener.upstreams([] as Upstream[], upTo),
    () => listener.upstreamChanges([]),
    () => listener.upstreamsComplete(upTo),
    () => listener.evacuations([], 1),
    () => listener.gateways([])
  ]) t.throws(deliver, { instanceOf: DeliveryError })
  // Guards against: a failure here that counts as a failure of the store, or ends the watch (FAULT, stale lists).
  listener.condition('u', { leaving: true, rest: 0 })
  listener.storeAnswered()
  listener.storeFailed(0, 'cause')
  assertLogged(t, lines, 'delivery', 8)
  t.false(listener.isSuperseded(upTo))
  t.is(listener.upstreamsRevision(), 1)
})
