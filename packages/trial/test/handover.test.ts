/** Planned stops of the workers that are homes of keys, under a load of requests that may not be repeated. */
import test from 'ava'
import { v7 } from 'uuid'
import { Fleet, plainName, trialKey, type Execution, type FleetEntry } from '../src/index.js'

/** Callers that ask at once, each with one request after the other. */
const callers = 8

/** Requests of each caller at the least. */
const least = 40

/** How long a caller goes on asking with the same key, in ms. */
const patience = 15_000

interface Sent {
  readonly body: string
  /** Answers other than the service's own. */
  refused: number
  /** Whether one of them was final: the home cannot tell and never will. */
  lost: boolean
  answered: boolean
}

interface Count {
  readonly sent: readonly Sent[]
  readonly executions: ReadonlyMap<string, number>
}

async function ask (entry: FleetEntry, body: string, key: string): Promise<Response> {
  return await fetch(`http://${entry.callers}/services/${plainName}/topups`, {
    method: 'POST',
    headers: { authorization: `Bearer ${trialKey}`, 'idempotency-key': key },
    body
  })
}

/** Sends one request with a key minted now, and the same key again until it has an answer or none can come. */
async function sendOne (fleet: Fleet, sent: Sent): Promise<void> {
  const key = v7()
  const end = Date.now() + patience
  for (let tries = 0; Date.now() < end; tries++) {
    const response = await ask(fleet.entries[tries % fleet.entries.length], sent.body, key)
    const text = await response.text()
    if (response.status === 200) {
      sent.answered = true
      return
    }
    sent.refused++
    sent.lost = text.includes('key-before-home')
    if (sent.lost) return
    await new Promise(resolve => setTimeout(resolve, 50))
  }
}

/** Sends requests for as long as `change` takes, and counts what became of them. */
async function under (fleet: Fleet, change: () => Promise<void>): Promise<Count> {
  const sent: Sent[] = []
  const load = { over: false }
  const run = async (name: number): Promise<void> => {
    for (let index = 0; index < least || !load.over; index++) {
      const one: Sent = { body: `caller ${name}, ${index}, ${sent.length}`, refused: 0, lost: false, answered: false }
      sent.push(one)
      await sendOne(fleet, one)
    }
  }
  const running = Promise.all(Array.from({ length: callers }, (_each, name) => run(name)))
  await change()
  load.over = true
  await running
  const lists = await Promise.all(fleet.workers.map(async each => (await (await fetch(`${each.upstreamUrl}/executions`)).json()) as Execution[]))
  const executions = new Map<string, number>()
  for (const { body } of lists.flat()) executions.set(body, (executions.get(body) ?? 0) + 1)
  return { sent, executions }
}

/** Waits until every slot has a home other than `id`. */
async function movedFrom (fleet: Fleet, id: string): Promise<void> {
  for (const entry of fleet.entries) {
    await fleet.status(({ nodes }) => new Set(nodes.filter(node => node.id !== id).flatMap(each => each.slots)).size === 12, entry)
  }
}

const changes = [
  {
    title: 'stopped',
    change: async (fleet: Fleet): Promise<void> => {
      fleet.worker('plain-1').child.signal('SIGTERM')
      await fleet.worker('plain-1').child.ended()
      await movedFrom(fleet, 'plain-1')
    }
  },
  {
    title: 'told to leave',
    change: async (fleet: Fleet): Promise<void> => {
      await fleet.operators().leave({ id: 'plain-2' })
      await movedFrom(fleet, 'plain-2')
    }
  }
]

for (const { title, change } of changes) {
  test.serial(`when a home is ${title}, every request with a key runs once and gets its answer`, async t => {
    const fleet = new Fleet({ engines: 0, plain: 3, replicas: 0, period: 1000, interval: 250, skew: 200 })
    try {
      await fleet.start()
      await fleet.opened()
      const { sent, executions } = await under(fleet, () => change(fleet))
      const lost = sent.filter(each => each.lost)
      t.log(`${sent.length} requests, ${sent.filter(each => each.refused > 0).length} asked again, ${lost.length} ended unknown`)
      t.deepEqual(sent.filter(each => !each.answered), [])
      t.deepEqual(sent.filter(each => executions.get(each.body) !== 1), [])
    } finally {
      await fleet.stop()
    }
  })
}
