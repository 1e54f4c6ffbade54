/** The delivery of answers over a connection that the test opens and closes the tap of. */
import { EventEmitter } from 'node:events'
import { type ServerResponse } from 'node:http'
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Log } from '@eiderwind/log'
import { Deliveries, type Delivery } from '../src/delivery.js'

const kibibyte = 1024
const bounds = { perCaller: 64 * kibibyte, total: 256 * kibibyte, patience: 10_000 }

/** A response whose caller reads only when it is told to. */
class SlowResponse extends EventEmitter {
  readonly writableHighWaterMark = 16 * kibibyte
  readonly socket = { resetAndDestroy: () => { this.destroy() } }
  got = 0
  pending = 0
  ended = false
  destroyed = false
  writableNeedDrain = false
  writableFinished = false
  /** Whether the caller reads all at once. */
  fast = false

  get writableLength (): number {
    return this.pending
  }

  write (bytes: Buffer): boolean {
    this.pending += bytes.length
    if (this.fast) this.read()
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

  /** Has the caller read what the connection holds. */
  read (): void {
    this.got += this.pending
    this.pending = 0
    const drains = this.writableNeedDrain && !this.ended
    this.writableNeedDrain = false
    if (drains) this.emit('drain')
    if (!this.ended) return
    this.writableFinished = true
    this.emit('finish')
  }
}

class Setting {
  readonly clock = new ManualClock()
  readonly lines: string[] = []
  readonly closed: string[] = []
  readonly deliveries = new Deliveries({ clock: this.clock, log: new Log({ sink: line => { this.lines.push(line) } }), bounds })

  open (id: string): { response: SlowResponse, delivery: Delivery } {
    const response = new SlowResponse()
    return { response, delivery: this.deliveries.open(response as unknown as ServerResponse, id, () => this.closed.push(id)) }
  }
}

test('nothing is kept for a caller that reads', t => {
  const { deliveries, open, clock } = bound(new Setting())
  const { response, delivery } = open('a')
  response.fast = true
  for (let each = 0; each < 10; each++) delivery.write(Buffer.alloc(200))
  delivery.end(Buffer.alloc(1_000_000))
  t.is(response.got, 1_002_000)
  t.deepEqual([deliveries.waiting, deliveries.bytes], [0, 0])
  t.true(response.writableFinished)
  clock.advance(60_000)
  t.is(deliveries.closed, 0)
})

test('what a caller has not read is kept in order, its upstream is paused at the bound, and read on when half of it is read', t => {
  const { deliveries, open } = bound(new Setting())
  const { response, delivery } = open('a')
  let relieved = 0
  const isFull = (): boolean => delivery.isFull(() => { relieved++ })
  delivery.write(Buffer.alloc(32 * kibibyte))
  t.false(isFull())
  delivery.write(Buffer.alloc(32 * kibibyte))
  t.true(isFull())
  t.is(deliveries.bytes, 64 * kibibyte)
  response.read()
  t.is(relieved, 0, '48 KiB are kept')
  response.read()
  t.is(relieved, 1)
  response.read()
  response.read()
  t.is(response.got, 64 * kibibyte)
  t.deepEqual([deliveries.waiting, deliveries.bytes, relieved], [0, 0, 1])
})

test('an answer that is here is delivered late as well, and ends after its last byte', t => {
  const { deliveries, open, clock } = bound(new Setting())
  const { response, delivery } = open('a')
  delivery.write(Buffer.alloc(100 * kibibyte))
  delivery.end()
  t.false(response.ended)
  for (let each = 0; each < 7; each++) {
    clock.advance(9000)
    response.read()
  }
  t.is(response.got, 100 * kibibyte)
  t.true(response.writableFinished)
  t.deepEqual([deliveries.waiting, deliveries.closed], [0, 0])
})

test('an answer that breaks off is delivered as far as it came, and cut', t => {
  const { open } = bound(new Setting())
  const { response, delivery } = open('a')
  delivery.write(Buffer.alloc(40 * kibibyte))
  delivery.cut()
  t.false(response.destroyed)
  for (let each = 0; each < 3; each++) response.read()
  t.is(response.got, 40 * kibibyte)
  t.true(response.destroyed)
  t.false(response.ended)
})

test('a caller that reads nothing loses its connection after the patience, also when its answer has ended', t => {
  const setting = new Setting()
  const { deliveries, open, clock } = bound(setting)
  const streaming = open('streaming')
  const ended = open('ended')
  const small = open('small')
  streaming.delivery.write(Buffer.alloc(40 * kibibyte))
  ended.delivery.end(Buffer.alloc(100 * kibibyte))
  small.delivery.end(Buffer.alloc(100))
  clock.advance(10_000)
  t.deepEqual(setting.closed, [])
  clock.advance(500)
  t.deepEqual(setting.closed, ['streaming', 'ended', 'small'])
  t.true(streaming.response.destroyed && ended.response.destroyed && small.response.destroyed)
  t.deepEqual([deliveries.waiting, deliveries.bytes, deliveries.closed], [0, 0, 3])
  t.like(JSON.parse(setting.lines[0]), { name: 'caller-stalled', request: 'streaming', bytes: 40 * kibibyte, answered: false })
  t.like(JSON.parse(setting.lines[1]), { request: 'ended', answered: true })
})

test('after this process stood still, callers have their time anew: what they read meanwhile is not seen yet', t => {
  const setting = new Setting()
  const { open, clock } = bound(setting)
  const { delivery } = open('a')
  delivery.write(Buffer.alloc(40 * kibibyte))
  clock.advance(500)
  clock.freeze(20_000)
  clock.advance(9000)
  t.deepEqual(setting.closed, [])
  clock.advance(1500)
  t.deepEqual(setting.closed, ['a'])
})

test('a caller that leaves frees what was kept for it', t => {
  const { deliveries, open } = bound(new Setting())
  const { response, delivery } = open('a')
  delivery.write(Buffer.alloc(100 * kibibyte))
  response.destroy()
  t.deepEqual([deliveries.waiting, deliveries.bytes], [0, 0])
  delivery.write(Buffer.alloc(100 * kibibyte))
  t.is(deliveries.bytes, 0)
})

function bound (setting: Setting): Pick<Setting, 'clock' | 'deliveries' | 'open'> {
  return { clock: setting.clock, deliveries: setting.deliveries, open: id => setting.open(id) }
}
