/** The fair queue: which requests are served, and which are refused at once. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { FairQueue, type QueuedRequest, type Shortage } from '../src/index.js'

class Fixture {
  readonly clock = new ManualClock()
  readonly queue = new FairQueue(this.clock)
  readonly free: object[] = []
  readonly ended: string[] = []
  readonly shortages: Shortage[] = []

  /** Frees `count` places, as if requests had ended. */
  release (count: number): void {
    for (let index = 0; index < count; index++) this.free.push({})
    this.queue.wake()
  }

  wait (name: string, change: Partial<QueuedRequest> = {}): Promise<void> {
    const now = this.clock.now()
    const request = { room: 's', attempted: false, priority: 1, team: 'a', work: 1, arrivedAt: now, inTimeUntil: now + 500, until: now + 110, ...change }
    return this.queue.wait(request, () => this.free.shift(), { onShortage: shortage => this.shortages.push(shortage) }).then(found => {
      this.ended.push(`${name} ${found === undefined ? 'nothing' : 'place'}`)
    })
  }

  /** Runs two seconds in which a place becomes free every 50 ms and other requests always wait. */
  async contend (): Promise<void> {
    const waits: Array<Promise<void>> = []
    for (let time = 0; time < 2000; time += 50) {
      waits.push(this.wait('before'), this.wait('before'))
      this.clock.advance(50)
      this.release(1)
    }
    this.clock.advance(500)
    await Promise.all(waits)
    this.ended.length = 0
    this.shortages.length = 0
  }
}

test('waiting requests are served by the rules, and for a request that is not served the deciding rule is reported', async t => {
  const fixture = new Fixture()
  const all = [fixture.wait('late', { inTimeUntil: -1 }), fixture.wait('less urgent', { priority: 2 }), fixture.wait('again', { again: true }), fixture.wait('urgent')]
  fixture.release(2)
  fixture.clock.advance(200)
  await Promise.all(all)
  t.deepEqual(fixture.ended, ['urgent place', 'again place', 'late nothing', 'less urgent nothing'])
  t.deepEqual(fixture.shortages, ['late', 'no room'])
})

test('a new request does not take a free place that a waiting request with precedence can use', async t => {
  const fixture = new Fixture()
  const all = [fixture.wait('first')]
  fixture.free.push({})
  all.push(fixture.wait('less urgent', { priority: 3 }))
  fixture.clock.advance(200)
  await Promise.all(all)
  t.deepEqual(fixture.ended, ['first place', 'less urgent nothing'])
})

test('requests of one room do not wait for requests of another room', async t => {
  const fixture = new Fixture()
  const all = [fixture.wait('here', { priority: 0, until: 1e6 })]
  fixture.free.push({})
  all.push(fixture.wait('there', { room: 'other' }))
  await all[1]
  t.deepEqual(fixture.ended, ['there place'])
})

test('a request for which the queue is too long is refused at once, and one that may still get a place is not', async t => {
  const fixture = new Fixture()
  await fixture.contend()
  // 20 places per second become free: two within 110 ms, and more than seven in fewer than one case of twenty.
  const all = Array.from({ length: 9 }, (_each, index) => fixture.wait(String(index)))
  await Promise.resolve()
  await Promise.resolve()
  t.true(fixture.shortages.length > 0 && fixture.shortages.length < 7, String(fixture.shortages.length))
  t.true(fixture.shortages.every(each => each === 'queue too long'))
  t.false(fixture.ended.includes('0 nothing'))
  t.false(fixture.ended.includes('2 nothing'))
  fixture.clock.advance(200)
  await Promise.all(all)
})

test('as long as the rate of free places is unknown, no request is refused before its wait ends', async t => {
  const fixture = new Fixture()
  const all = Array.from({ length: 50 }, (_each, index) => fixture.wait(String(index)))
  await Promise.resolve()
  t.is(fixture.queue.count, 50)
  fixture.clock.advance(111)
  await Promise.all(all)
  t.is(fixture.queue.count, 0)
})

test('a request whose caller leaves is removed from the queue and takes no place', async t => {
  const fixture = new Fixture()
  let cancel = (): void => {}
  const request = { room: 's', attempted: false, priority: 1, team: 'a', work: 1, arrivedAt: 0, inTimeUntil: 500, until: 110 }
  const cancelled = fixture.queue.wait(request, () => fixture.free.shift(), { onWait: stop => { cancel = stop } })
  cancel()
  t.is(await cancelled, undefined)
  t.is(fixture.queue.count, 0)
  fixture.release(1)
  t.is(fixture.free.length, 1)
})
