/** A replica of the real daemons that loses a member: killed, frozen, cut from its head; and a head frozen past its grants. */
import test, { type ExecutionContext } from 'ava'
import { Fleet, Forwarder, answerWords, modelName, trialKey, type EngineOptions } from '../src/index.js'

const period = 1500
const tokens = 300
const tokenTime = 20

/** Slack for timers and scheduling of a busy machine, in ms. */
const slack = 600

async function withFleet (run: (fleet: Fleet) => Promise<void>, engine: EngineOptions = { tokenTime, tokens }): Promise<void> {
  const fleet = new Fleet({ engines: 5, plain: 0, period, engine })
  try {
    await fleet.start()
    await run(fleet)
  } finally {
    await fleet.stop()
  }
}

/** A stream that is read as it comes. */
class Reading {
  text = ''
  lastAt = 0
  /** Longest time between two parts, in ms. */
  gap = 0
  readonly ended: Promise<string>
  #came = (): void => {}

  constructor (response: Response) {
    this.ended = this.#read(response)
  }

  async #read (response: Response): Promise<string> {
    const decoder = new TextDecoder()
    try {
      for await (const chunk of response.body as unknown as AsyncIterable<Uint8Array>) {
        const now = Date.now()
        if (this.lastAt > 0) this.gap = Math.max(this.gap, now - this.lastAt)
        this.lastAt = now
        this.text += decoder.decode(chunk, { stream: true })
        this.#came()
      }
      return 'end'
    } catch {
      return 'cut'
    }
  }

  /** Resolves when the next part has come. */
  part (): Promise<void> {
    return new Promise(resolve => { this.#came = resolve })
  }

  get words (): string[] {
    return [...this.text.matchAll(/"content":"([^"]*)"/g)].map(each => each[1])
  }

  async begun (): Promise<void> {
    for (let tries = 0; this.words.length < 5; tries++) {
      if (tries > 1000) throw new Error(`The stream never began: ${this.text}`)
      await new Promise(resolve => setTimeout(resolve, 10))
    }
  }
}

async function open (address: string, headers: Record<string, string> = {}, more: object = {}): Promise<Reading> {
  const response = await fetch(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${trialKey}`, ...headers },
    body: JSON.stringify({ model: modelName, stream: true, messages: [{ role: 'user', content: 'Long' }], ...more })
  })
  return new Reading(response)
}

/** The stream is whole: every token once, in order, and the end mark. */
function whole (t: ExecutionContext, text: string, count = tokens): void {
  t.deepEqual([...text.matchAll(/"content":"([^"]*)"/g)].map(each => each[1]), answerWords('Long', count))
  t.true(text.endsWith('data: [DONE]\n\n'))
}

async function members (fleet: Fleet): Promise<string[]> {
  return (await fleet.status(status => status.replicas[0]?.serving ?? false)).replicas[0].members
}

for (const signal of ['SIGKILL', 'SIGSTOP'] as const) {
  test.serial(`a replica whose member gets ${signal} stops within a grant period, and its stream goes on whole on the mended replica`, async t => {
    await withFleet(async fleet => {
      const [head, member] = await members(fleet)
      const direct = await open(fleet.worker(head).address)
      const stream = await open(fleet.entries[0].callers)
      await Promise.all([direct.begun(), stream.begun()])
      const lostAt = Date.now()
      fleet.worker(member).child.signal(signal)
      t.is(await direct.ended, 'cut')
      const served = direct.lastAt - lostAt
      t.log(`last byte ${served} ms after the loss, grant period ${period} ms`)
      t.true(served <= period + slack)
      t.is(await stream.ended, 'end')
      t.log(`the caller's stream stood still for ${stream.gap} ms`)
      whole(t, stream.text)
      t.false((await members(fleet)).includes(member))
      if (signal === 'SIGSTOP') {
        fleet.worker(member).child.signal('SIGCONT')
        const status = await fleet.status(each => each.nodes.some(node => node.id === member && node.health === 'live'))
        t.is(status.replicas.filter(each => each.members.includes(member)).length, 0)
      }
    })
  })
}

/**
 * An engine that is slow enough for the freeze to fall between two tokens: a part that was checked just before the freeze
 * and written just after it is the one that design/leases.md speaks of, and no fault.
 */
const slow = { tokenTime: 150, tokens: 50 }

test.serial('a head that wakes from a freeze longer than its grants serves not one byte more, nor what waits in its sockets', async t => {
  await withFleet(async fleet => {
    const [head] = await members(fleet)
    const direct = await open(fleet.worker(head).address)
    const stream = await open(fleet.entries[0].callers)
    await Promise.all([direct.begun(), stream.begun()])
    await direct.part()
    fleet.worker(head).child.signal('SIGSTOP')
    const waiting = fetch(`http://${fleet.worker(head).address}/v1/chat/completions`, { method: 'POST', body: JSON.stringify({ model: modelName, messages: [{ role: 'user', content: 'x' }] }) })
    await new Promise(resolve => setTimeout(resolve, period + 200))
    const before = direct.text.length
    fleet.worker(head).child.signal('SIGCONT')
    t.is(await direct.ended, 'cut')
    t.is(direct.text.length, before)
    const refused = await (await waiting).json() as { error: { code: string, outcome: string } }
    t.deepEqual([refused.error.code, refused.error.outcome], ['not-serving', 'not-run'])
    t.is(await stream.ended, 'end')
    whole(t, stream.text, slow.tokens)
  }, slow)
})

test.serial('a head that freezes and stays frozen keeps no caller waiting: the stream goes on whole elsewhere', async t => {
  await withFleet(async fleet => {
    const [head] = await members(fleet)
    const stream = await open(fleet.entries[0].callers)
    await stream.begun()
    fleet.worker(head).child.signal('SIGSTOP')
    t.is(await stream.ended, 'end')
    t.log(`the caller's stream stood still for ${stream.gap} ms`)
    whole(t, stream.text)
  })
})

test.serial('a replica whose member is cut from the head alone stops, and gets another member', async t => {
  await withFleet(async fleet => {
    const [head, member] = await members(fleet)
    const forwarder = new Forwarder(fleet.worker(member).address)
    await forwarder.start()
    await fleet.setNodes(fleet.nodes().map(node => node.id === member ? { ...node, address: forwarder.address } : node))
    await fleet.knowAddress(member, forwarder.address)
    // The head takes the new address with its next tenure.
    await fleet.operators().leave({ id: head })
    await fleet.status(status => status.replicas[0].members[0] !== head && status.replicas[0].serving)
    await fleet.operators().return({ id: head })
    const [other] = await members(fleet)
    const direct = await open(fleet.worker(other).address)
    await direct.begun()
    const cutAt = Date.now()
    forwarder.cut()
    t.is(await direct.ended, 'cut')
    t.true(direct.lastAt - cutAt <= period + slack)
    const mended = await fleet.status(status => status.replicas[0].serving && !status.replicas[0].members.includes(member))
    t.is(mended.nodes.find(each => each.id === member)?.replica, '')
    forwarder.stop()
  })
})

test.serial('when an entry is killed in the middle of a stream, the caller goes on at another entry with no token twice or missing', async t => {
  await withFleet(async fleet => {
    const [first, second] = fleet.entries
    const stream = await open(first.callers)
    await stream.begun()
    first.child.signal('SIGKILL')
    await stream.ended
    t.false(stream.text.includes('[DONE]'))
    const whole = stream.text.slice(0, stream.text.lastIndexOf('\n\n') + 2)
    const had = [...whole.matchAll(/"content":"([^"]*)"/g)].map(each => each[1])
    const ids = [...whole.matchAll(/^id: (\d+)$/gm)].map(each => each[1])
    const rest = await open(second.callers, { 'last-event-id': ids[ids.length - 1] }, { resume: { text: had.join('') } })
    t.is(await rest.ended, 'end')
    t.deepEqual([...had, ...rest.words], answerWords('Long', tokens))
  })
})
