/**
 * Messages between gateways near valid ones, played through their decoders and through what uses the result. Any process
 * can send to the ports, and gateways of other builds check less. `ODD_RUNS=10000` sets the number of plays of each kind.
 */
import test, { type ExecutionContext } from 'ava'
import * as fc from 'fast-check'
import { oddJson, type OddChoice } from '@eiderwind/emulator'
import { decodeBlocked, decodeConfirmation, decodeOrder, decodeProbe, decodeProbeAnswer, decodeResult, decodeUpstreamChanges } from '../src/messages.js'
import { OddGateway, head, maxDatagram, plain } from './oddgateway.js'

const runs = { numRuns: Number(process.env.ODD_RUNS ?? 200), seed: 74, includeErrorInReport: true }

const number = fc.nat(1_000_000)
const choice: fc.Arbitrary<OddChoice> = fc.record({ place: number, manner: number, value: number })

/** The silence after which a gateway counts as gone, at the slowest rate of heartbeats that is believed, in ms. */
const longestSilence = 4 * 60_000 + 1000

const heartbeat = {
  id: 'g-2',
  revision: 7,
  able: true,
  watch: true,
  loads: { 'h-1': 1, 'p-1': 2 },
  suspects: ['h-1'],
  models: { m: 2 },
  served: true,
  weights: { 'h-2': 'm' },
  every: 250,
  ask: true,
  terms: { s: 3 },
  crashes: [{ upstream: 'h-1', age: 20, requests: ['ab12', 'cd34'], named: { ab12: { parts: ['p1'], team: 'one', beginning: true, trial: false } } }],
  cleared: ['ef56'],
  trials: { 'h-2': 'ab12' },
  clearances: { ef56: 10 },
  tried: { 'h-2': ['ab12'] },
  blocked: '0011223344556677',
  leaving: ['h-2'],
  limits: { 'p-1': [2, 10], 'h-1': [null, 5] },
  evacuation: { revision: 7, dataCentres: ['dc-9'] },
  cold: { 'h-1': [2, 900] },
  contended: ['s m'],
  grants: { 'g-1': 3 },
  away: true
}

const datagrams: Readonly<Record<string, object>> = {
  'a heartbeat': heartbeat,
  'a request for a token': { token: 'ask', upstream: 'p-1', number: 5, priority: 3, patience: 400, limit: [2, 10], cold: [2, 900] },
  'a token that is due later': { token: 'later', number: 5, due: 100 },
  'a request for a place': { place: 'ask', service: 's', model: 'm', number: 5, priority: 3, team: 'one', work: 10, age: 5, timely: 400, patience: 400, review: 50, besides: ['h-2'], near: 'dc', again: true, early: true },
  'a place that is due later': { place: 'later', number: 5, due: 100 },
  'a count of requests': { place: 'count', service: 's', model: 'm', upstream: 'h-1', count: 2, seen: 3, shut: 100 },
  'a grant of a place': { place: 'grant', number: 5, upstream: 'h-1', order: 2 },
  'a request for retries': { retry: 'ask', service: 'p', number: 5, count: 2 },
  'a loan of retries': { retry: 'lend', number: 5, count: 2 }
}

async function withGateway (run: (gateway: OddGateway) => void): Promise<void> {
  const gateway = new OddGateway()
  await gateway.start()
  try {
    gateway.receive(JSON.stringify({ ...heartbeat, id: 'g-2' }), 'g-2:1')
    run(gateway)
    const { faults } = gateway
    if (faults.length > 0) throw new Error(faults.join('; '))
  } finally {
    gateway.stop()
  }
}

async function assertPlays (t: ExecutionContext, play: (odd: OddChoice) => Promise<void>): Promise<void> {
  t.timeout(3_600_000)
  await t.notThrowsAsync(async () => await fc.assert(fc.asyncProperty(choice, play), runs))
}

for (const [what, valid] of Object.entries(datagrams)) {
  // Guards against: one datagram ends the gateway that gets it, or leaves a gateway that is gone live for ever (FAULT).
  test(`whatever is odd in ${what}, nothing is thrown, later messages are taken, and no gateway stays live for ever`, async t => {
    await assertPlays(t, async odd => await withGateway(gateway => {
      const text = oddJson(valid, odd)
      if (Buffer.byteLength(text) <= maxDatagram) gateway.receive(text, 'g-2:1')
      gateway.receive(JSON.stringify(valid), 'g-2:1')
      gateway.receive(JSON.stringify({ ...heartbeat, id: 'g-3' }), 'g-3:1')
      if (!gateway.peers.live.some(each => each.id === 'g-3')) throw new Error('a later heartbeat is not taken')
      gateway.stop()
      gateway.clock.advance(longestSilence)
      if (gateway.peers.live.length > 0) throw new Error(`live for ever: ${gateway.peers.live.map(each => each.id.slice(0, 20)).join()}`)
    }))
  })
}

const upstream = { ...head('odd'), name: 'odd', born: 5, id: 'odd@5', staged: ['x'], cold: 100 }

// Guards against: a build that checks less sends one odd upstream, and the gateways that follow it get no list (LOST).
test('one odd upstream in another gateway\'s list costs no other one', async t => {
  await assertPlays(t, async odd => await withGateway(gateway => {
    const list = `{"life":"l","newest":4,"age":5,"outageAge":9,"revision":8,"upstreams":[${JSON.stringify(plain('first'))},${oddJson(upstream, odd)},${JSON.stringify(plain('second'))}]}`
    gateway.list.follow('g-2', decodeUpstreamChanges(list, reason => gateway.invalid.push(reason)), gateway.clock.bootNow())
    gateway.receive(JSON.stringify(heartbeat), 'g-2:1')
    for (const id of ['first', 'second']) if (gateway.roster.find(id) === undefined) throw new Error(`${id} is missing: ${gateway.invalid.join()}`)
  }))
})

// Guards against: one odd change in an answer costs the gateways that follow all others, again and again (LOST).
test('one odd change in another gateway\'s answer costs no other one', async t => {
  await assertPlays(t, async odd => await withGateway(gateway => {
    const change = odd.place % 2 === 0 ? { upstream } : { gone: 'odd', certain: true }
    const changes = `{"life":"l","newest":4,"changes":[${JSON.stringify({ upstream: plain('first') })},${oddJson(change, odd)},{"gone":"p-1"},${JSON.stringify({ upstream: plain('second') })}]}`
    gateway.list.follow('g-2', decodeUpstreamChanges(changes, reason => gateway.invalid.push(reason)), gateway.clock.bootNow())
    gateway.receive(JSON.stringify(heartbeat), 'g-2:1')
    for (const id of ['first', 'second']) if (gateway.roster.find(id) === undefined) throw new Error(`${id} is missing: ${gateway.invalid.join()}`)
    if (gateway.roster.find('p-1') !== undefined) throw new Error('a departure is missing')
  }))
})

// Guards against: a list that seems to be complete up to a time far ahead is never asked for again.
test('an answer about upstreams whose frame is odd is refused with an error, or is complete up to about now', async t => {
  const frame = { life: 'l', newest: 4, age: 5, outageAge: 9, revision: 8, upstreams: [], changes: [] }
  await assertPlays(t, async odd => await withGateway(gateway => {
    try {
      const answer = decodeUpstreamChanges(oddJson(frame, odd), () => {})
      if ((answer.age ?? 0) < -60_000) throw new RangeError('complete up to a time ahead')
      gateway.list.follow('g-2', answer, gateway.clock.bootNow() - (answer.age ?? 0))
    } catch (error) {
      if (error instanceof RangeError) throw error
    }
  }))
})

// Guards against: one odd block or clearance in another gateway's list hides the others.
test('one odd block or clearance in another gateway\'s list costs no other one', async t => {
  const block = { request: 'ab12', age: 5, names: ['ab12', 'cd34'], duration: 60_000 }
  await assertPlays(t, async odd => await withGateway(gateway => {
    const sound = (name: string): string => JSON.stringify({ ...block, request: name, names: [name] })
    const cleared = odd.place % 2 === 0 ? JSON.stringify({ ef: 5 }) : oddJson({ ef: 5, ff: 6 }, { ...odd, place: 1 + odd.place % 2 })
    const { blocks, clearances } = decodeBlocked(`{"blocked":[${sound('f1')},${oddJson(block, odd)},${sound('f2')}],"cleared":${cleared}}`, reason => gateway.invalid.push(reason))
    gateway.crashWatch.crashes.addClearances(clearances)
    gateway.crashWatch.crashes.block(blocks)
    const names = new Set(gateway.crashWatch.crashes.blocks.flatMap(each => each.names))
    for (const name of ['f1', 'f2']) if (!names.has(name)) throw new Error(`block ${name} is missing: ${gateway.invalid.join()}`)
    gateway.receive(JSON.stringify(heartbeat), 'g-2:1')
  }))
})

// Guards against: an odd request at the port for other gateways leads to a call that throws (FAULT).
test('an odd order, probe, confirmation or result is decoded or is an error of its decoder, and names no address that is none', async t => {
  const order = { kind: 'join', node: 'h-1', address: 'h-1:1', replica: 'r', epoch: 4, model: 'm', members: ['h-1', 'h-2'], manner: 'cut', loads: true, spare: false, fence: 3 }
  const traffic = { revision: 9, routes: [], services: [], limits: { header: 1, body: 1, headerTime: 1, idleTime: 1 } }
  const messages: ReadonlyArray<readonly [object, (text: string) => unknown]> = [
    [order, decodeOrder],
    [{ id: 'h-1', address: 'h-1:1' }, decodeProbe],
    [{ answers: true }, decodeProbeAnswer],
    [{ result: 'taken' }, decodeResult],
    [{ revision: 9, age: 5, traffic }, decodeConfirmation]
  ]
  await assertPlays(t, async odd => {
    for (const [valid, decode] of messages) {
      try {
        const decoded = decode(oddJson(valid, odd))
        // What is decoded is sent on or logged.
        if (JSON.stringify(decoded).length > 1e6) throw new RangeError('a text without bounds')
      } catch (error) {
        if (!['ZodError', 'SyntaxError'].includes((error as Error).name) && !(error as object).constructor.name.startsWith('Zod')) throw error
      }
    }
  })
})

// Guards against: a gateway that has gone and counts as live for ever, with its duties and its load (FAULT).
test('a heartbeat that announces the next one in centuries is not taken', async t => {
  for (const every of [1e300, 60_001]) {
    const gateway = new OddGateway()
    await gateway.start()
    gateway.receive(JSON.stringify({ ...heartbeat, every }), 'g-2:1')
    t.deepEqual(gateway.peers.live, [])
    gateway.receive(JSON.stringify({ ...heartbeat, every: 60_000 }), 'g-2:1')
    gateway.stop()
    t.is(gateway.peers.live.length, 1)
    gateway.clock.advance(longestSilence)
    t.deepEqual(gateway.peers.live, [])
  }
})

// Guards against: a negative count that draws the requests of all gateways to one upstream.
test('a heartbeat with a negative count of requests is not taken', async t => {
  const gateway = new OddGateway()
  await gateway.start()
  gateway.receive(JSON.stringify({ ...heartbeat, loads: { 'h-1': -1 } }), 'g-2:1')
  t.deepEqual(gateway.peers.live, [])
  gateway.stop()
})

// Guards against: gateways that follow an older build, which checks no addresses, get no list while one is odd (LOST).
test('an upstream of another gateway whose address is none is reported, and what was listed under its name is gone', async t => {
  const gateway = new OddGateway()
  const odd = { ...plain('p-1'), address: '127.0.0.1:99999' }
  const answer = decodeUpstreamChanges(JSON.stringify({ life: 'l', newest: 3, changes: [{ upstream: plain('p-2') }, { upstream: odd }, { upstream: plain('p-3') }] }), reason => gateway.invalid.push(reason))
  t.deepEqual(answer.changes, [{ upstream: plain('p-2') }, { gone: 'p-1', certain: true }, { upstream: plain('p-3') }])
  t.regex(gateway.invalid.join(), /^An item p-1 in the answer of another gateway is invalid: address: /)
  const list = decodeUpstreamChanges(JSON.stringify({ life: 'l', newest: 3, upstreams: [plain('p-2'), odd] }), () => {})
  t.deepEqual(list.upstreams, [plain('p-2')])
})

// Guards against: one answer of another process makes keys count as confirmed for ever (CONFIG).
test('a confirmation from the future is no confirmation', t => {
  for (const age of [-1, -1e300]) t.throws(() => decodeConfirmation(JSON.stringify({ revision: 3, age })))
  t.is(decodeConfirmation(JSON.stringify({ revision: 3, age: 0 })).age, 0)
})
