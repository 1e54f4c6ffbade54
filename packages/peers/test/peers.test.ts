/** Heartbeats between gateways: encoding and decoding, recipients and intervals, and which peers count as live. */
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram'
import test, { type ExecutionContext } from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Peers, type Heartbeat } from '../src/index.js'
import { decode, encode } from '../src/heartbeat.js'

const interval = 250
const timeout = 1000

/** The datagram of `heartbeat()`, as every build of the gateway sends and reads it. */
const datagram = '{"id":"self","revision":7,"able":true,"loads":{"u":3},"suspects":["h"],"models":{"m":2},"served":true}'

/** The same datagram as it is sent regularly in a small fleet, and as a gateway sends it to request a reply. */
const regular = datagram.replace('"served":true}', '"served":true,"every":250}')
const requestingReply = datagram.replace('"served":true}', '"served":true,"every":250,"ask":true}')

function heartbeat (difference: Partial<Heartbeat> = {}): Heartbeat {
  return { id: 'self', revision: 7, canPlan: true, inFlight: { u: 3 }, suspects: ['h'], offeredByModel: { m: 2 }, served: true, loads: {}, ...difference }
}

test('loads that engines have begun are sent under the key weights, and a datagram without the key has none', t => {
  const loads = { e1: 'large' }
  const text = encode(heartbeat({ loads }))
  t.is(text, datagram.replace('"served":true}', '"served":true,"weights":{"e1":"large"}}'))
  t.deepEqual(decode(Buffer.from(text))?.loads, loads)
  t.deepEqual(decode(Buffer.from(datagram))?.loads, {})
})

test('cold upstreams are sent with their rate and remaining time, and a datagram without the key has none', t => {
  const cold = { u: [32, 1500], 'v@k3': [0.5, 0] } as const
  const text = encode(heartbeat({ cold }))
  t.is(text, datagram.replace('"served":true}', '"served":true,"cold":{"u":[32,1500],"v@k3":[0.5,0]}}'))
  t.deepEqual(decode(Buffer.from(text))?.cold, { u: [32, 1500], 'v@k3': [0.5, 0] })
  t.is(encode(heartbeat({ cold: {} })), datagram)
  t.is(decode(Buffer.from(datagram))?.cold, undefined)
})

test('limits of upstreams are sent with their rate and age, and a datagram without the key has none', t => {
  const limits = { u: [1.6, 20], 'v@k3': [null, 3000] } as const
  const text = encode(heartbeat({ limits }))
  t.is(text, datagram.replace('"served":true}', '"served":true,"limits":{"u":[1.6,20],"v@k3":[null,3000]}}'))
  t.deepEqual(decode(Buffer.from(text))?.limits, { u: [1.6, 20], 'v@k3': [null, 3000] })
  t.is(encode(heartbeat({ limits: {} })), datagram)
  t.is(decode(Buffer.from(datagram))?.limits, undefined)
  t.is(decode(Buffer.from(text.replace('1.6', '-1'))), undefined)
})

test('upstreams that are leaving are sent under the key leaving, and a datagram without the key has none', t => {
  const leaving = ['u', 'v@k3']
  const text = encode(heartbeat({ leaving }))
  t.is(text, datagram.replace('"served":true}', '"served":true,"leaving":["u","v@k3"]}'))
  t.deepEqual(decode(Buffer.from(text))?.leaving, leaving)
  t.is(encode(heartbeat({ leaving: [] })), datagram)
  t.is(decode(Buffer.from(datagram))?.leaving, undefined)
})

test('evacuated data centres are sent with the store\'s revision, also once there are none any more, and a datagram without the key has none', t => {
  for (const evacuation of [{ revision: 70, dataCentres: ['dc-1'] }, { revision: 71, dataCentres: [] }]) {
    const text = encode(heartbeat({ evacuation }))
    t.is(text, datagram.replace('"served":true}', `"served":true,"evacuation":{"revision":${evacuation.revision},"dataCentres":${JSON.stringify(evacuation.dataCentres)}}}`))
    t.deepEqual(decode(Buffer.from(text))?.evacuation, evacuation)
  }
  t.is(decode(Buffer.from(datagram))?.evacuation, undefined)
})

/** A socket that records what it receives. */
interface Peer {
  readonly id: string
  readonly address: string
  readonly socket: Socket
  readonly received: Array<{ readonly text: string, readonly from: RemoteInfo }>
}

async function peer (t: ExecutionContext, id: string): Promise<Peer> {
  const socket = createSocket('udp4')
  const received: Peer['received'] = []
  socket.on('message', (message, from) => received.push({ text: message.toString(), from }))
  await new Promise<void>(resolve => socket.bind(0, '127.0.0.1', resolve))
  t.teardown(() => { socket.close() })
  return { id, address: `127.0.0.1:${socket.address().port}`, socket, received }
}

/** A port that was free a moment ago. */
async function freePort (): Promise<number> {
  const socket = createSocket('udp4')
  await new Promise<void>(resolve => socket.bind(0, '127.0.0.1', resolve))
  const { port } = socket.address()
  await new Promise<void>(resolve => socket.close(() => resolve()))
  return port
}

async function startedPeers (t: ExecutionContext, clock: ManualClock): Promise<Peers> {
  const peers = new Peers({ clock, id: 'self', address: '127.0.0.1:0', heartbeat, interval, timeout })
  await peers.start()
  t.teardown(() => peers.stop())
  return peers
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setImmediate(resolve))
}

/** Sends a text from `from` to the address from which its first heartbeat came. */
async function reply (from: Peer, text: string): Promise<void> {
  await until(() => from.received.length > 0)
  const { port, address } = from.received[0].from
  await new Promise(resolve => from.socket.send(text, port, address, resolve))
}

test('a heartbeat is encoded as its datagram and decoded again', t => {
  t.is(encode(heartbeat()), datagram)
  t.deepEqual(decode(Buffer.from(datagram)), heartbeat())
})

test('keys that a newer gateway adds are ignored', t => {
  const newer = JSON.stringify({ ...JSON.parse(datagram), more: { than: 'this' } })
  t.deepEqual(decode(Buffer.from(newer)), heartbeat())
})

for (const [name, text] of [
  ['that lacks a key, as an older gateway\'s might', datagram.replace(',"served":true', '')],
  ['with a value of another type', datagram.replace('"able":true', '"able":"yes"')],
  ['with a count that is no whole number', datagram.replace('"u":3', '"u":3.5')],
  ['that is JSON, but no object', '7'],
  ['that is cut short', datagram.slice(0, 40)],
  ['that is empty', '']
] as const) {
  test(`a datagram ${name} is no heartbeat`, t => {
    t.is(decode(Buffer.from(text)), undefined)
  })
}

test('heartbeats are sent to the listed peers at each interval and on demand, and not to the gateway itself', async t => {
  const clock = new ManualClock()
  const peers = await startedPeers(t, clock)
  const [other, self] = await Promise.all([peer(t, 'other'), peer(t, 'self')])
  peers.setAddresses([other, self])
  t.deepEqual(peers.addresses.map(each => each.id), ['other'])
  await until(() => other.received.length === 1)
  clock.advance(interval - 1)
  peers.send()
  await until(() => other.received.length === 2)
  clock.advance(1)
  await until(() => other.received.length === 3)
  t.deepEqual(other.received.map(each => each.text), [requestingReply, regular, regular])
  t.is(self.received.length, 0)
})

test('in a large fleet a gateway sends to every peer, also to an unlisted one that has sent it a heartbeat', async t => {
  const peers = await startedPeers(t, new ManualClock())
  const others = await Promise.all(Array.from({ length: 35 }, (_each, index) => peer(t, `g${index}`)))
  const reached = (): string[] => others.filter(each => each.received.length > 0).map(each => each.id)
  const listed = others.slice(1)
  peers.setAddresses(listed)
  peers.send()
  await until(() => reached().length === listed.length)
  const { port, address } = listed[0].received[0].from
  await new Promise(resolve => others[0].socket.send(encode(heartbeat({ id: 'g0' })), port, address, resolve))
  await until(() => peers.live.length === 1)
  peers.send()
  await until(() => reached().length === others.length)
  t.deepEqual(reached().sort(), others.map(each => each.id).sort())
})

for (const { size, intervalFactor } of [{ size: 34, intervalFactor: 1 }, { size: 41, intervalFactor: 2 }, { size: 99, intervalFactor: 3 }, { size: 389, intervalFactor: 10 }]) {
  test(`with ${size} peers a gateway sends each ${intervalFactor * interval} ms, and the time-out of a peer grows by the same factor`, async t => {
    const clock = new ManualClock()
    const peers = await startedPeers(t, clock)
    const other = await peer(t, 'other')
    // No process listens at the other addresses: they use the port of the discard protocol.
    peers.setAddresses([other, ...Array.from({ length: size - 1 }, (_each, index) => ({ id: `g${index}`, address: '127.0.0.1:9' }))])
    await until(() => other.received.length === 1)
    clock.advance(intervalFactor * interval - 1)
    await new Promise(resolve => setTimeout(resolve, 50))
    t.is(other.received.length, 1)
    clock.advance(1)
    await until(() => other.received.length === 2)
    t.is(other.received.length, 2)
    const { text } = other.received[1]
    t.is(decode(Buffer.from(text))?.interval, intervalFactor * interval)
    // A peer that does not send its interval is taken to have the interval of this gateway.
    for (const from of [text.replace('"self"', '"other"'), datagram.replace('"self"', '"other"')]) {
      await reply(other, from)
      await until(() => peers.live.length === 1)
      clock.advance(intervalFactor * timeout)
      t.is(peers.live.length, 1)
      clock.advance(1)
      t.is(peers.live.length, 0)
    }
  })
}

test('an urgent gateway sends at each interval in a large fleet, and a peer that sends as often counts as gone after one time-out', async t => {
  const clock = new ManualClock()
  const other = await peer(t, 'other')
  const peers = new Peers({ clock, id: 'self', address: '127.0.0.1:0', heartbeat, interval, timeout, urgent: () => true })
  await peers.start()
  t.teardown(() => peers.stop())
  peers.setAddresses([other, ...Array.from({ length: 299 }, (_each, index) => ({ id: `g${index}`, address: '127.0.0.1:9' }))])
  await until(() => other.received.length === 1)
  for (const count of [2, 3, 4]) {
    clock.advance(interval)
    await until(() => other.received.length === count)
  }
  t.is(other.received[3].text, regular)
  await reply(other, regular.replace('"self"', '"other"'))
  await until(() => peers.live.length === 1)
  clock.advance(timeout + 1)
  t.deepEqual(peers.live, [])
})

test('a heartbeat that requests a reply is answered at once, and one that does not is not', async t => {
  const peers = await startedPeers(t, new ManualClock())
  const other = await peer(t, 'other')
  peers.setAddresses([other])
  await reply(other, datagram.replace('"self"', '"other"'))
  await until(() => peers.live.length === 1)
  t.is(other.received.length, 1)
  await reply(other, requestingReply.replace('"self"', '"other"'))
  await until(() => other.received.length === 2)
  t.deepEqual(other.received.map(each => each.text), [requestingReply, regular])
})

test('when the list is read again, a reply is requested from peers that have sent nothing, and from no others', async t => {
  const peers = await startedPeers(t, new ManualClock())
  const [answering, silent] = await Promise.all([peer(t, 'answering'), peer(t, 'silent')])
  peers.setAddresses([answering, silent])
  await reply(answering, datagram.replace('"self"', '"answering"'))
  await until(() => peers.live.length === 1)
  peers.setAddresses([answering, silent])
  await until(() => silent.received.length === 2)
  t.is(answering.received.length, 1)
})

test('a peer counts as live until nothing was received from it for the time-out', async t => {
  const clock = new ManualClock()
  const peers = await startedPeers(t, clock)
  const other = await peer(t, 'other')
  peers.setAddresses([other])
  peers.send()
  await reply(other, encode(heartbeat({ id: 'other', revision: 1 })))
  await until(() => peers.live.length === 1)
  clock.advance(600)
  await reply(other, encode(heartbeat({ id: 'other', revision: 2 })))
  await until(() => peers.live[0].revision === 2)
  clock.advance(timeout)
  t.deepEqual(peers.live, [heartbeat({ id: 'other', revision: 2 })])
  clock.advance(1)
  t.deepEqual(peers.live, [])
})

test('a gateway drops its own heartbeats and datagrams that are no heartbeats, and only live peers that may plan are planners', async t => {
  const peers = await startedPeers(t, new ManualClock())
  const other = await peer(t, 'other')
  peers.setAddresses([other])
  peers.send()
  for (const text of ['nonsense', datagram, encode(heartbeat({ id: 'idle', canPlan: false })), encode(heartbeat({ id: 'other' }))]) {
    await reply(other, text)
  }
  await until(() => peers.live.length === 2)
  t.deepEqual(peers.live.map(each => each.id), ['idle', 'other'])
  t.deepEqual(peers.planners, ['other'])
})

test('a datagram that cannot be sent does not keep the others from being sent', async t => {
  const peers = await startedPeers(t, new ManualClock())
  const other = await peer(t, 'other')
  // The system refuses to send to the broadcast address.
  peers.setAddresses([{ id: 'refused', address: '255.255.255.255:9' }, other])
  peers.send()
  await until(() => other.received.length === 2)
  t.deepEqual(other.received.map(each => each.text), [requestingReply, regular])
})

test('a gateway without a list sends to every peer that has sent it a heartbeat, also after a long silence', async t => {
  const clock = new ManualClock()
  const other = await peer(t, 'other')
  const port = await freePort()
  const peers = new Peers({ clock, id: 'self', address: `127.0.0.1:${port}`, heartbeat, interval, timeout })
  await peers.start()
  t.teardown(() => peers.stop())
  await new Promise(resolve => other.socket.send(encode(heartbeat({ id: 'other' })), port, '127.0.0.1', resolve))
  await until(() => peers.live.length === 1)
  peers.send()
  await until(() => other.received.length === 1)
  clock.advance(20 * timeout)
  t.deepEqual(peers.live, [])
  // Datagrams that were sent while the peer still counted as live arrive meanwhile.
  await new Promise(resolve => setTimeout(resolve, 100))
  const before = other.received.length
  peers.send()
  await new Promise(resolve => setTimeout(resolve, 100))
  t.true(other.received.length > before)
})

test('a gateway that is away sends the key away, and one that is not omits it', t => {
  const text = encode(heartbeat({ away: true }))
  t.is(text, datagram.replace('"served":true}', '"served":true,"away":true}'))
  t.true(decode(Buffer.from(text))?.away)
  t.is(encode(heartbeat({ away: false })), datagram)
  t.is(decode(Buffer.from(datagram))?.away, undefined)
})

// Guards against: the address of a gateway that is none ended every gateway at its next heartbeat (FAULT).
test('heartbeats go to the other gateways although one has an address that cannot be called', async t => {
  const clock = new ManualClock()
  const peers = await startedPeers(t, clock)
  const other = await peer(t, 'other')
  const odd = ['127.0.0.1:99999', 'x y', '[::', ''].map((address, index) => ({ id: `odd-${index}`, address }))
  peers.setAddresses([...odd, { id: 'other', address: other.address }])
  t.notThrows(() => clock.advance(interval))
  await until(() => other.received.length > 1)
  t.notThrows(() => peers.post('127.0.0.1:99999', 'text'))
})

// Guards against: a datagram whose handling fails ended the gateway (FAULT).
test('a datagram whose handling throws ends nothing else: the next one is taken', async t => {
  const errors: string[] = []
  const received: string[] = []
  const port = await freePort()
  const peers = new Peers({
    clock: new ManualClock(),
    id: 'self',
    address: `127.0.0.1:${port}`,
    heartbeat,
    interval,
    timeout,
    received: ({ id }) => {
      if (id === 'odd') throw new Error('not taken')
      received.push(id)
    },
    contain: handle => {
      try {
        handle()
      } catch (error) {
        errors.push(String(error))
      }
    }
  })
  await peers.start()
  t.teardown(() => peers.stop())
  const sender = await peer(t, 'a')
  for (const id of ['odd', 'a']) sender.socket.send(encode(heartbeat({ id })), port, '127.0.0.1')
  await until(() => received.length > 0)
  t.deepEqual(received, ['a'])
  t.deepEqual(errors, ['Error: not taken'])
})
