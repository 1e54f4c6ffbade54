/** The delivery of answers over a connection whose reading the test controls. */
import { EventEmitter } from 'node:events'
import { type ServerResponse } from 'node:http'
import test from 'ava'
import { ManualClock, type Subscription, type Task } from '@eiderwind/clock'
import { Log } from '@eiderwind/log'
import { Deliveries, type Delivery } from '../src/delivery.js'

const kibibyte = 1024
const bounds = { perCaller: 64 * kibibyte, total: 256 * kibibyte, patience: 10_000 }

/** A response whose caller reads only when the test calls `read`. */
class SlowResponse extends EventEmitter {
  readonly writableHighWaterMark = 16 * kibibyte
  readonly socket = { resetAndDestroy: () => { this.destroy() } }
  bytesRead = 0
  pending = 0
  ended = false
  destroyed = false
  writableNeedDrain = false
  writableFinished = false
  /** Whether the caller reads everything immediately. */
  readsAtOnce = false

  get writableLength (): number {
    return this.pending
  }

  write (bytes: Buffer): boolean {
    this.pending += bytes.length
    if (this.readsAtOnce) this.read()
    this.writableNeedDrain = this.pending >= this.writableHighWaterMark
    return !this.writableNeedDrain
  }

  end (last?: Buffer): void {
    if (last !== undefined) this.write(last)
    this.ended = true
    if (this.pending === 0) this.writableFinished = true
  }

  destroy (): void {
    this.destroyed = true
    this.emit('close')
  }

  /** Lets the caller read the bytes in the connection. */
  read (): void {
    this.bytesRead += this.pending
    this.pending = 0
    const drains = this.writableNeedDrain && !this.ended
    this.writableNeedDrain = false
    if (drains) this.emit('drain')
    if (!this.ended) return
    this.writableFinished = true
    this.emit('finish')
  }
}

/** A clock that counts what happens in each turn of the event loop, that is, in each timer. */
class TurnClock extends ManualClock {
  #ended: () => void = () => {}

  override after (delay: number, task: Task): Subscription {
    return super.after(delay, () => {
      task()
      this.#ended()
    })
  }

  /** Returns a function that reads the greatest rise of `count` in one turn since now. */
  maxPerTurn (count: () => number): () => number {
    let last = count()
    let max = 0
    this.#ended = () => {
      max = Math.max(max, count() - last)
      last = count()
    }
    return () => max
  }
}

class Fixture {
  readonly clock: ManualClock
  readonly deliveries: Deliveries
  readonly lines: string[] = []
  readonly closed: string[] = []

  constructor (clock = new ManualClock(), limits = bounds) {
    this.clock = clock
    this.deliveries = new Deliveries({ clock, log: new Log({ sink: line => { this.lines.push(line) } }), bounds: limits })
  }

  open (id: string): { response: SlowResponse, delivery: Delivery } {
    const response = new SlowResponse()
    return { response, delivery: this.deliveries.open(response as unknown as ServerResponse, id, () => this.closed.push(id)) }
  }
}

test('nothing is buffered for a caller that reads at once', t => {
  const { deliveries, open, clock } = boundMethods(new Fixture())
  const { response, delivery } = open('a')
  response.readsAtOnce = true
  for (let each = 0; each < 10; each++) delivery.write(Buffer.alloc(200))
  delivery.end(Buffer.alloc(1_000_000))
  t.is(response.bytesRead, 1_002_000)
  t.deepEqual([deliveries.waiting, deliveries.bytes], [0, 0])
  t.true(response.writableFinished)
  clock.advance(60_000)
  t.is(deliveries.closed, 0)
})

test('unread bytes are buffered in order; the upstream is paused at the bound and resumed when half of them are read', t => {
  const { deliveries, open } = boundMethods(new Fixture())
  const { response, delivery } = open('a')
  let resumptions = 0
  const isFull = (): boolean => delivery.isFull(() => { resumptions++ })
  delivery.write(Buffer.alloc(32 * kibibyte))
  t.false(isFull())
  delivery.write(Buffer.alloc(32 * kibibyte))
  t.true(isFull())
  t.is(deliveries.bytes, 64 * kibibyte)
  response.read()
  t.is(resumptions, 0, '48 KiB are unread')
  response.read()
  t.is(resumptions, 1)
  response.read()
  response.read()
  t.is(response.bytesRead, 64 * kibibyte)
  t.deepEqual([deliveries.waiting, deliveries.bytes, resumptions], [0, 0, 1])
})

test('a complete answer is delivered to a slow caller and ends after its last byte', t => {
  const { deliveries, open, clock } = boundMethods(new Fixture())
  const { response, delivery } = open('a')
  delivery.write(Buffer.alloc(100 * kibibyte))
  delivery.end()
  t.false(response.ended)
  for (let each = 0; each < 7; each++) {
    clock.advance(9000)
    response.read()
  }
  t.is(response.bytesRead, 100 * kibibyte)
  t.true(response.writableFinished)
  t.deepEqual([deliveries.waiting, deliveries.closed], [0, 0])
})

test('the received part of an answer that breaks off is delivered, then the connection is cut', t => {
  const { open } = boundMethods(new Fixture())
  const { response, delivery } = open('a')
  delivery.write(Buffer.alloc(40 * kibibyte))
  delivery.cut()
  t.false(response.destroyed)
  for (let each = 0; each < 3; each++) response.read()
  t.is(response.bytesRead, 40 * kibibyte)
  t.true(response.destroyed)
  t.false(response.ended)
})

test('the connection of a caller that reads nothing is closed after the patience, also after its answer has ended', t => {
  const fixture = new Fixture()
  const { deliveries, open, clock } = boundMethods(fixture)
  const streaming = open('streaming')
  const ended = open('ended')
  const small = open('small')
  streaming.delivery.write(Buffer.alloc(40 * kibibyte))
  ended.delivery.end(Buffer.alloc(100 * kibibyte))
  small.delivery.end(Buffer.alloc(100))
  clock.advance(10_000)
  t.deepEqual(fixture.closed, [])
  clock.advance(500)
  t.deepEqual(fixture.closed, ['streaming', 'ended', 'small'])
  t.true(streaming.response.destroyed && ended.response.destroyed && small.response.destroyed)
  t.deepEqual([deliveries.waiting, deliveries.bytes, deliveries.closed], [0, 0, 3])
  t.like(JSON.parse(fixture.lines[0]), { name: 'caller-stalled', request: 'streaming', bytes: 40 * kibibyte, answered: false })
  t.like(JSON.parse(fixture.lines[1]), { request: 'ended', answered: true })
})

test('after a pause of this process the idle time of callers restarts, since what they read meanwhile was not seen', t => {
  const fixture = new Fixture()
  const { open, clock } = boundMethods(fixture)
  const { delivery } = open('a')
  delivery.write(Buffer.alloc(40 * kibibyte))
  clock.advance(500)
  clock.freeze(20_000)
  clock.advance(9000)
  t.deepEqual(fixture.closed, [])
  clock.advance(1500)
  t.deepEqual(fixture.closed, ['a'])
})

// Guards against this failure: all other streams stood still while hundreds of callers were served in one turn.
test('of a thousand callers that read nothing, no more than ten are closed in one turn of the event loop, and all are closed', t => {
  const clock = new TurnClock()
  const { deliveries, open } = boundMethods(new Fixture(clock))
  for (let index = 0; index < 1000; index++) open(String(index)).delivery.write(Buffer.alloc(20 * kibibyte))
  const maxClosed = clock.maxPerTurn(() => deliveries.closed)
  clock.advance(bounds.patience + 1000)
  t.is(deliveries.closed, 1000)
  t.is(maxClosed(), 10)
})

test('of hundreds of upstreams that may be read again at once, no more than ten are resumed in one turn of the event loop', t => {
  const clock = new TurnClock()
  const { deliveries, open } = boundMethods(new Fixture(clock, { ...bounds, total: 16 * kibibyte ** 2 }))
  const callers = Array.from({ length: 400 }, (_each, index) => open(String(index)))
  for (const { delivery } of callers) delivery.write(Buffer.alloc(17 * kibibyte))
  const large = open('large')
  large.delivery.write(Buffer.alloc(12 * kibibyte ** 2))
  let resumed = 0
  for (const { delivery } of callers) t.true(delivery.isFull(() => { resumed++ }))
  const maxResumed = clock.maxPerTurn(() => resumed)
  large.response.destroy()
  clock.advance(1000)
  t.is(resumed, 400)
  t.is(maxResumed(), 10)
  t.is(deliveries.resumed, 400)
})

test('a caller that reads again before its turn to be closed keeps its connection', t => {
  const { deliveries, open, clock } = boundMethods(new Fixture())
  const callers = Array.from({ length: 11 }, (_each, index) => open(String(index)))
  for (const { delivery } of callers) delivery.write(Buffer.alloc(17 * kibibyte))
  // Callers are closed in the order of their idle time, and the eleventh in the turn after the others.
  callers[0].response.once('close', () => callers[10].response.read())
  clock.advance(bounds.patience + 1000)
  t.is(deliveries.closed, 10)
  t.false(callers[10].response.destroyed)
})

test('the buffered bytes of a caller that disconnects are freed', t => {
  const { deliveries, open } = boundMethods(new Fixture())
  const { response, delivery } = open('a')
  delivery.write(Buffer.alloc(100 * kibibyte))
  response.destroy()
  t.deepEqual([deliveries.waiting, deliveries.bytes], [0, 0])
  delivery.write(Buffer.alloc(100 * kibibyte))
  t.is(deliveries.bytes, 0)
})

function boundMethods (fixture: Fixture): Pick<Fixture, 'clock' | 'deliveries' | 'open'> {
  return { clock: fixture.clock, deliveries: fixture.deliveries, open: id => fixture.open(id) }
}
