/** Which messages about limits gateways exchange, and the immediate effects of a new limit. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { InFlight } from '@eiderwind/detect'
import { Queue } from '@eiderwind/dispatch'
import { ranked } from '@eiderwind/hash'
import { encodeMessage } from '@eiderwind/limits'
import { type Log } from '@eiderwind/log'
import { type Heartbeat, type Peers } from '@eiderwind/peers'
import { Roster, type Upstream } from '@eiderwind/roster'
import { UpstreamLimits } from '../src/upstreamlimits.js'
import { queuedRequest } from './queuedrequest.js'

function upstream (id: string): Upstream {
  return { id, service: 's', address: `${id}:1`, dataCentre: 'dc', leaving: false, loaded: [], staged: [] }
}

class Fixture {
  readonly clock = new ManualClock()
  readonly roster = new Roster(this.clock)
  readonly inFlight = new InFlight(this.clock, () => {})
  readonly queue = new Queue(this.clock)
  readonly lines: string[] = []
  /** Datagrams about tokens that were sent. */
  readonly posted: string[] = []
  /** Number of heartbeats sent in addition to the regular ones. */
  heartbeatsSent = 0
  /** Ids of the other live gateways. */
  readonly others: string[] = []
  readonly upstreamLimits: UpstreamLimits

  constructor (id = 'g1') {
    const others = this.others
    const peers = {
      get live (): unknown {
        return others.map(id => ({ id }))
      },
      seenWithin: () => others.map(id => ({ id })),
      send: () => { this.heartbeatsSent++ },
      post: (to: string, message: string) => { this.posted.push(`${to} ${message}`) }
    }
    this.upstreamLimits = new UpstreamLimits({
      clock: this.clock,
      log: { write: (name: string, { upstream, limit, from }: Record<string, unknown>) => this.lines.push([name, upstream, limit, from].filter(each => each !== undefined).join(' ')) } as unknown as Log,
      id,
      roster: this.roster,
      peers: peers as unknown as Peers,
      inFlight: this.inFlight,
      queue: this.queue,
      random: () => 0
    })
    this.roster.replace([upstream('a'), upstream('b')])
  }

  /** The heartbeat that the other gateways receive. */
  get heartbeat (): Heartbeat {
    return { id: 'g1', revision: 0, canPlan: false, inFlight: {}, suspects: [], offeredByModel: {}, served: false, loads: {}, ...this.upstreamLimits.heartbeatFields }
  }
}

test('a new limit, a changed one and its end are each logged once, and at most once a second', t => {
  const { clock, upstreamLimits, lines } = new Fixture()
  for (const limit of [3, 3, 1.6]) upstreamLimits.recordLimit('a', limit)
  t.deepEqual(lines, ['upstream-limited a 3'])
  clock.advance(1000)
  for (const limit of [1.6, 1.5]) upstreamLimits.recordLimit('a', limit)
  clock.advance(1000)
  for (const limit of [Infinity, Infinity]) upstreamLimits.recordLimit('a', limit)
  upstreamLimits.recordLimit('b', Infinity)
  t.deepEqual(lines, ['upstream-limited a 3', 'upstream-limited a 1.5', 'upstream-limited a'])
})

test('other gateways are notified of a new limit at once, and of its change and its end with the next regular heartbeat', t => {
  const first = new Fixture()
  const second = new Fixture('g2')
  first.others.push('g2')
  second.others.push('g1')
  const exchange = (): number => {
    second.clock.advance(first.clock.now() - second.clock.now())
    second.upstreamLimits.receiveHeartbeat(first.heartbeat)
    return second.upstreamLimits.limits.rate('a')
  }
  first.upstreamLimits.recordLimit('a', 3)
  t.is(first.heartbeatsSent, 1)
  t.is(exchange(), 3)
  first.clock.advance(10)
  first.upstreamLimits.recordLimit('a', 2)
  t.is(first.heartbeatsSent, 1)
  t.is(exchange(), 2)
  first.clock.advance(10)
  first.upstreamLimits.recordLimit('a', Infinity)
  t.is(exchange(), Infinity)
  t.is(second.lines[0], 'upstream-limited a 3 g1')
  t.deepEqual(second.heartbeat.limits, { a: [null, 0] })
  t.is(ranked('a', ['g1', 'g2'])[0], 'g2', 'the issuer of the tokens reports it too')
})

test('unsent requests to an upstream are withdrawn when it first names a limit, and waiting requests search again', async t => {
  const { clock, upstreamLimits, inFlight, queue } = new Fixture()
  const withdrawn: string[] = []
  inFlight.begin('a', '', { withdrawn: why => { withdrawn.push(why) } })
  inFlight.begin('b', '', { withdrawn: () => t.fail() })
  const foundAt = queue.wait(queuedRequest(clock.now(), clock.now() + 5000), () => upstreamLimits.limits.isLimited('a') ? clock.now() : undefined)
  upstreamLimits.recordLimit('a', 3)
  upstreamLimits.recordLimit('a', 2)
  t.deepEqual(withdrawn, ['the upstream named a limit'])
  t.is(await foundAt, 0)
})

test('the issuer of the tokens answers a token request, and learns the limit from the request', t => {
  const { clock, upstreamLimits, posted, others } = new Fixture()
  const ask = (upstream: string, number: number): void => upstreamLimits.receive(Buffer.from(encodeMessage({ token: 'ask', upstream, number, priority: 1, patience: 1000, limit: [10, 50] })), 'g2:1')
  ask('a', 7)
  t.deepEqual(posted, ['g2:1 {"token":"later","number":7,"due":100}'])
  clock.advance(100)
  t.is(posted.at(-1), 'g2:1 {"token":"grant","number":7}')
  others.push(...Array.from({ length: 200 }, (_each, index) => `other${index}`))
  clock.advance(100)
  ask('b', 8)
  t.is(posted.length, 2)
  t.is(upstreamLimits.limits.rate('b'), 10)
})

test('a gateway that takes over as issuer issues no token for one second', t => {
  const { clock, upstreamLimits, posted } = new Fixture()
  upstreamLimits.receive(Buffer.from(encodeMessage({ token: 'ask', upstream: 'a', number: 7, priority: 1, patience: 3000, limit: [100, 5000] })), 'g2:1')
  t.deepEqual(posted, ['g2:1 {"token":"later","number":7,"due":1000}'])
  clock.advance(999)
  t.is(posted.length, 1)
  clock.advance(1)
  t.is(posted.length, 2)
})

test('a datagram that is not a valid message is ignored', t => {
  const { upstreamLimits, posted } = new Fixture()
  for (const each of ['', 'x', '{"token":"grant"}', '{"token":"drop","upstream":"a","number":3}']) upstreamLimits.receive(Buffer.from(each), 'g2:1')
  t.deepEqual(posted, [])
})
