/**
 * Guards against calls that end as timed out although their answer has arrived: the event loop was blocked when the
 * time-out became due, and the timer ran before the answer was read.
 */
import { Worker } from 'node:worker_threads'
import test from 'ava'
import { SystemClock } from '@eiderwind/clock'
import { blockLoop, loopPhases } from '@eiderwind/clock/testing'
import { HttpStore } from '@eiderwind/store'
import { Clients, Collector, Connections } from '@eiderwind/wire'
import { EngineUpstream, PlainUpstream } from '../src/upstream.js'

/** Time of the server's answer, in ms from the request. */
const answerTime = 100

/** When the block begins, in ms from the request: after it was sent, before its answer. */
const blockStart = 50

/** How long after the time-out the block ends, in ms. */
const overruns = [3, 15, 100]

/** A server in a thread of its own, which goes on while the loop of the test is blocked. */
class AnswerThread {
  readonly #thread = new Worker(`
    const { parentPort } = require('node:worker_threads')
    const server = require('node:http').createServer((request, response) => {
      request.resume()
      setTimeout(() => response.writeHead(200, { etag: '"1"' }).end('{"version":"v1","adapters":[],"generation":1}'), ${answerTime})
    })
    server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port))
  `, { eval: true })

  async start (): Promise<string> {
    const port = await new Promise<number>(resolve => this.#thread.once('message', resolve))
    return `127.0.0.1:${port}`
  }

  async stop (): Promise<void> {
    await this.#thread.terminate()
  }
}

interface TimedCall {
  readonly title: string
  /** Time-out of the call, in ms. */
  readonly timeout: number
  /** Sends one call. Resolves with whether the answer arrived; a rejection counts as none. */
  readonly send: (address: string) => Promise<boolean>
}

const clock = new SystemClock()
const claim = { resource: 'r', holder: 'h', term: 't', period: 1000, revision: 1 }

const calls: readonly TimedCall[] = [
  {
    title: 'a call between processes',
    timeout: 300,
    send: async address => {
      const clients = new Clients(clock, 300)
      await clients.worker(address).claim(claim)
      await clients.close()
      return true
    }
  },
  {
    title: 'a read of the store',
    timeout: 300,
    send: async address => {
      const store = new HttpStore({ clock, url: `http://${address}`, timeout: 300 })
      const read = await store.read('key')
      await store.close()
      return read.isOk()
    }
  },
  {
    title: 'a health check of an engine',
    timeout: 1000,
    send: async address => (await new EngineUpstream(clock, `http://${address}`, '/health').readState()).healthy
  },
  {
    title: 'a health check of a plain service',
    timeout: 1000,
    send: async address => (await new PlainUpstream(clock, `http://${address}`, '/health').readState()).healthy
  },
  {
    title: 'an export of a session',
    timeout: 300,
    send: async address => await (await new EngineUpstream(clock, `http://${address}`, '/health').exportSession('s', 300))?.text() !== undefined
  },
  {
    title: 'a new connection',
    timeout: 300,
    send: address => new Promise(resolve => {
      const connections = new Connections({ connectTime: 300 })
      const done = (answered: boolean): void => {
        connections.close()
        resolve(answered)
      }
      connections.send({ origin: `http://${address}`, path: '/', method: 'GET', headers: {}, body: undefined }, new Collector({ whole: () => done(true), failed: () => done(false) }))
    })
  }
]

for (const { title, timeout, send } of calls) {
  for (const phase of loopPhases) {
    test.serial(`${title} that was answered in time does not time out when the loop is blocked in its ${phase} phase`, async t => {
      const server = new AnswerThread()
      t.teardown(() => server.stop())
      const address = await server.start()
      for (const overrun of overruns) {
        const answered = send(address).catch(() => false)
        await clock.wait(blockStart)
        blockLoop(phase, timeout - blockStart + overrun)
        t.true(await answered, `block until ${overrun} ms after the time-out`)
      }
    })
  }
}
