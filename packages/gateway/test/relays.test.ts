/** Through which gateways an engine is called that does not answer. */
import test from 'ava'
import { ManualClock, SystemClock } from '@eiderwind/clock'
import { Orders, type Order, type OrderResult } from '@eiderwind/forming'
import { type Heartbeat, type PeerAddress } from '@eiderwind/peers'
import { Connections, listen, makeServer } from '@eiderwind/wire'
import { decodeOrder, decodeProbe, encodeProbe, encodeProbeAnswer, encodeResult, paths } from '../src/messages.js'
import { OrderRelay } from '../src/orderrelay.js'
import { PeerProbes } from '../src/peerprobes.js'
import { RelayCalls } from '../src/relaycalls.js'
import { Relays, relaysPerChoice } from '../src/relays.js'

interface Peer {
  readonly inFlight?: number
  readonly suspects?: boolean
}

const engine = 'e'

/** The live gateways, by id, with what their heartbeats say of the engine. */
function relays (peers: Readonly<Record<string, Peer>>, clock = new ManualClock()): Relays {
  const liveAddresses: PeerAddress[] = Object.keys(peers).map(id => ({ id, address: `${id}:1` }))
  const live = Object.entries(peers).map(([id, { inFlight = 0, suspects = false }]): Heartbeat => ({
    id, revision: 1, canPlan: true, inFlight: inFlight > 0 ? { [engine]: inFlight } : {}, suspects: suspects ? [engine] : [], offeredByModel: {}, served: true, loads: {}
  }))
  return new Relays(clock, { live, liveAddresses })
}

function fleet (size: number): Record<string, Peer> {
  return Object.fromEntries(Array.from({ length: size }, (_each, index) => [`gateway-${String(index).padStart(3, '0')}`, {}]))
}

test('gateways with requests at an engine that they trust are chosen first, then those that suspect it', t => {
  const chosen = relays({ ...fleet(10), 'gateway-008': { inFlight: 2 }, 'gateway-009': { inFlight: 1, suspects: true } }).choose(engine).map(each => each.id)
  t.deepEqual(chosen.slice(0, 2), ['gateway-008', 'gateway-009'])
  t.is(chosen.length, relaysPerChoice)
})

// Guards against this failure (TWO): orders were relayed through the first three gateways of the list only. A head that
// these and the planner had lost counted as dead while it served ten others.
for (const size of [3, 12, 34, 299]) {
  test(`each of ${size} gateways is chosen once before any is chosen again, a few at a time`, t => {
    const all = relays(fleet(size))
    const choices = Array.from({ length: Math.ceil(size / relaysPerChoice) }, () => all.choose(engine).map(each => each.id))
    for (const each of choices) t.true(each.length <= relaysPerChoice && new Set(each).size === each.length)
    t.is(new Set(choices.flat()).size, size)
  })
}

test('the order in which gateways are chosen differs from engine to engine', t => {
  const firsts = ['a', 'b', 'c', 'd', 'f', 'g'].map(each => relays(fleet(34)).choose(each)[0].id)
  t.true(new Set(firsts).size > 1)
})

test('the gateway that an engine answered last is always chosen, until it gets no answer', t => {
  const all = relays(fleet(34))
  const chosen = (): string[] => all.choose(engine).map(each => each.id)
  const [answering] = chosen()
  all.record(engine, answering, true)
  for (let count = 0; count < 8; count++) t.is(chosen()[0], answering)
  all.record(engine, answering, false)
  t.false(chosen().includes(answering))
})

test('a small fleet is chosen as a whole, and a gateway that is alone chooses nobody', t => {
  t.is(relays(fleet(2)).choose(engine).length, 2)
  t.deepEqual(relays({}).choose(engine), [])
})

const order: Order = { kind: 'close', node: engine, address: 'e:1', replica: 'r', epoch: 1, loads: false, fence: 1 }

class SilentOrders extends Orders {
  async send (): Promise<OrderResult> {
    return 'unanswered'
  }
}

/** A gateway that the engine answers, or not. Counts what it was asked. */
async function startPeer (answers: boolean): Promise<{ readonly address: string, readonly asked: string[], readonly stop: () => void }> {
  const asked: string[] = []
  const server = makeServer({
    handler: (request, response) => {
      const chunks: Buffer[] = []
      request.on('data', (chunk: Buffer) => chunks.push(chunk))
      request.on('end', () => {
        const body = Buffer.concat(chunks).toString()
        const isProbe = request.url === paths.probe
        asked.push(isProbe ? decodeProbe(body).id : decodeOrder(body).kind)
        response.end(isProbe ? encodeProbeAnswer(answers) : encodeResult(answers ? 'taken' : 'unanswered'))
      })
    }
  })
  const port = await listen(server, '127.0.0.1:0')
  return { address: `127.0.0.1:${port}`, asked, stop: () => server.close() }
}

test('an order to close or to leave goes on through a gateway that reaches the engine, and so does a probe', async t => {
  const [unreached, reaching] = [await startPeer(false), await startPeer(true)]
  const clock = new SystemClock()
  const connections = new Connections({ connectTime: 300 })
  t.teardown(() => {
    connections.close()
    for (const each of [unreached, reaching]) each.stop()
  })
  const peers = { live: [], liveAddresses: [unreached, reaching].map(({ address }, index) => ({ id: `${index}`, address })) }
  const relayCalls = new RelayCalls({ clock, relays: new Relays(clock, peers), connections })
  const relay = new OrderRelay(new SilentOrders(), relayCalls)
  t.is(await relay.send(order), 'taken')
  t.is(await relay.send({ ...order, kind: 'leave' }), 'taken')
  t.is(await relay.send({ ...order, kind: 'open' }), 'unanswered', 'other orders are not relayed')
  t.true(await new PeerProbes(relayCalls).probe({ id: engine, address: 'e:1' }))
  t.deepEqual(reaching.asked, ['close', 'leave', engine])
  t.deepEqual(unreached.asked, ['close', 'leave', engine])
})

test('the bytes of a probe and of its answer', t => {
  t.is(encodeProbe({ id: 'i-1', address: '10.0.0.1:80' }), '{"id":"i-1","address":"10.0.0.1:80"}')
  t.is(encodeProbeAnswer(true), '{"answers":true}')
  t.is(paths.probe, '/probe')
})

// Guards against: a relayed call that rejects since one gateway's address is none, although another gateway could have made it.
test('a call through gateways that cannot be called is unanswered', async t => {
  const clock = new ManualClock()
  const connections = new Connections()
  const oddAddresses = ['127.0.0.1:99999', '\\\\:80', '[::1:80:8080', 'ho?st#x:80', 'x y:80', '']
  const recorded: boolean[] = []
  const relays = {
    choose: () => oddAddresses.map((address, index) => ({ id: `gateway-${index}`, address })),
    record: (_engine: string, _gateway: string, answered: boolean) => recorded.push(answered)
  } as unknown as ConstructorParameters<typeof RelayCalls>[0]['relays']
  const calls = new RelayCalls({ clock, relays, connections })
  t.is(await calls.send('i-1', { path: '/order', body: '{}', timeout: 900, decode: () => 'taken', unanswered: 'unanswered' }), 'unanswered')
  t.deepEqual(recorded, oddAddresses.map(() => false))
  connections.close()
})
