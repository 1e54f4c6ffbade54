/** The homes of a plain worker through changes of its list of voters. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Log } from '@eiderwind/log'
import { Clients } from '@eiderwind/wire'
import { workerBoard } from '../src/facts.js'
import { Grants } from '../src/grants.js'
import { HomeController } from '../src/homecontroller.js'

// Guards against an update that fails: a worker that stood still missed a list.
test('a worker that has missed a list of voters makes its homes anew', async t => {
  const clock = new ManualClock()
  const board = workerBoard()
  const clients = new Clients(clock)
  const homes = new HomeController({
    clock,
    board,
    clients,
    grants: new Grants(clock, { maxPeriod: 1000, origin: 'i1' }),
    log: new Log({ sink: () => {} }),
    worker: 'w',
    period: 1000,
    leaseInterval: 250,
    isIdle: () => true,
    skew: 200,
    keyRetention: 1000
  })
  board.write('upstream', { healthy: true, loaded: undefined })
  for (const revision of [1, 3, 3]) {
    board.write('assignment', { kind: 'plain', revision, service: 's', voters: [{ id: 'w', address: '127.0.0.1:1' }], concurrency: 1, queue: 1 })
    await t.notThrowsAsync(homes.update())
  }
  await homes.stop()
  await clients.close()
})
