/** Planned stops of workers that are homes of keys, under a load of requests that may run only once. */
import test from 'ava'
import { v7 } from 'uuid'
import { Fleet, plainName, trialKey, type Execution, type FleetEntry } from '../src/index.js'

/** Number of concurrent callers. Each sends one request after the other. */
const callerCount = 8

/** Minimum number of requests of each caller. */
const minRequestsPerCaller = 40

/** How long a caller retries with the same key, in ms. */
const maxRetryMs = 15_000

interface KeyedRequest {
  readonly body: string
  /** Number of answers that did not come from the service. */
  refusals: number
  /** Whether a refusal was final: the key is older than its home, which can never find out whether the request ran. */
  endedUnknown: boolean
  answered: boolean
}

interface LoadResult {
  readonly sent: readonly KeyedRequest[]
  readonly executions: ReadonlyMap<string, number>
}

async function postTopUp (entry: FleetEntry, body: string, key: string): Promise<Response> {
  return await fetch(`http://${entry.callers}/services/${plainName}/topups`, {
    method: 'POST',
    headers: { authorization: `Bearer ${trialKey}`, 'idempotency-key': key },
    body
  })
}

/**
 * Sends one request with a new key. Retries with this key until an answer arrives, a refusal is final or `maxRetryMs`
 * has passed.
 */
async function sendUntilAnswered (fleet: Fleet, request: KeyedRequest): Promise<void> {
  const key = v7()
  const deadline = Date.now() + maxRetryMs
  for (let tries = 0; Date.now() < deadline; tries++) {
    const response = await postTopUp(fleet.entries[tries % fleet.entries.length], request.body, key)
    const text = await response.text()
    if (response.status === 200) {
      request.answered = true
      return
    }
    request.refusals++
    request.endedUnknown = text.includes('key-before-home')
    if (request.endedUnknown) return
    await new Promise(resolve => setTimeout(resolve, 50))
  }
}

/** Sends requests while `change` runs. Returns the requests and the number of executions of each. */
async function runUnderLoad (fleet: Fleet, change: () => Promise<void>): Promise<LoadResult> {
  const sent: KeyedRequest[] = []
  const load = { isDone: false }
  const run = async (name: number): Promise<void> => {
    for (let index = 0; index < minRequestsPerCaller || !load.isDone; index++) {
      const request: KeyedRequest = { body: `caller ${name}, ${index}, ${sent.length}`, refusals: 0, endedUnknown: false, answered: false }
      sent.push(request)
      await sendUntilAnswered(fleet, request)
    }
  }
  const running = Promise.all(Array.from({ length: callerCount }, (_each, name) => run(name)))
  await change()
  load.isDone = true
  await running
  const lists = await Promise.all(fleet.workers.map(async each => (await (await fetch(`${each.upstreamUrl}/executions`)).json()) as Execution[]))
  const executions = new Map<string, number>()
  for (const { body } of lists.flat()) executions.set(body, (executions.get(body) ?? 0) + 1)
  return { sent, executions }
}

/** Waits until every entry reports a home other than `id` for every slot. */
async function waitUntilSlotsMoved (fleet: Fleet, id: string): Promise<void> {
  for (const entry of fleet.entries) {
    await fleet.waitForStatus(({ nodes }) => new Set(nodes.filter(node => node.id !== id).flatMap(each => each.slots)).size === 12, entry)
  }
}

const changes = [
  {
    title: 'stopped',
    change: async (fleet: Fleet): Promise<void> => {
      fleet.worker('plain-1').child.signal('SIGTERM')
      await fleet.worker('plain-1').child.ended()
      await waitUntilSlotsMoved(fleet, 'plain-1')
    }
  },
  {
    title: 'ordered to leave',
    change: async (fleet: Fleet): Promise<void> => {
      await fleet.operators().leave({ id: 'plain-2' })
      await waitUntilSlotsMoved(fleet, 'plain-2')
    }
  }
]

for (const { title, change } of changes) {
  test.serial(`when a home is ${title}, every request with a key runs once and is answered`, async t => {
    const fleet = new Fleet({ engines: 0, plain: 3, replicas: 0, period: 1000, interval: 250, skew: 200 })
    try {
      await fleet.start()
      await fleet.waitUntilKeysAccepted()
      const { sent, executions } = await runUnderLoad(fleet, () => change(fleet))
      const lost = sent.filter(each => each.endedUnknown)
      t.log(`${sent.length} requests, ${sent.filter(each => each.refusals > 0).length} retried, ${lost.length} ended unknown`)
      t.deepEqual(sent.filter(each => !each.answered), [])
      t.deepEqual(sent.filter(each => executions.get(each.body) !== 1), [])
    } finally {
      await fleet.stop()
    }
  })
}
