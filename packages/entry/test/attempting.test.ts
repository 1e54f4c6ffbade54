/** Attempts that cannot be sent. */
import { EventEmitter } from 'node:events'
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Connections } from '@eiderwind/wire'
import { collectAttempt } from '../src/attempting.js'
import { type Context } from '../src/context.js'
import { type Exchange } from '../src/exchange.js'
import { AttemptsInFlight, type Target, type Targets } from '../src/index.js'

const deadline = 1000

// Guards against: a request whose attempt failed before it was sent got no answer, and the process ended at its deadline (FAULT, LOST).
for (const [what, address, teamName] of [['an address that is none', 'host:99999', 'team'], ['a team whose name is no header value', '127.0.0.1:1', 'a\nb']]) {
  test(`an attempt with ${what} fails as not sent, and nothing is left of it`, async t => {
    const clock = new ManualClock()
    const counts: string[] = []
    const targets = {
      isLive: () => true,
      recordSent: () => counts.push('sent'),
      recordEnded: () => counts.push('ended')
    } as unknown as Targets
    const response = new EventEmitter()
    const connections = new Connections()
    t.teardown(() => connections.close())
    const context = { clock, targets, connections, inFlight: new AttemptsInFlight(clock, targets) } as unknown as Context
    const exchange = { request: { url: '/', method: 'GET', headers: {} }, response, body: Buffer.alloc(0), team: { name: teamName }, service: 's', deadline } as unknown as Exchange
    const target = { worker: 'w', address, incarnation: 'i' } as unknown as Target
    const end = await collectAttempt(context, exchange, target)
    t.like(end, { type: 'failed', failure: { outcome: 'not-run' } })
    t.deepEqual(counts, ['sent', 'ended'])
    t.is(response.listenerCount('close'), 0)
    t.notThrows(() => clock.advance(2 * deadline))
    t.deepEqual(counts, ['sent', 'ended'])
  })
}
