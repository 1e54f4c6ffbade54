/**
 * A replica of real daemons whose member is killed, frozen or cut from the head, or whose head is frozen past its
 * grants.
 */
import test, { type ExecutionContext } from 'ava'
import { Fleet, Forwarder, answerWords, modelName, trialKey, type EngineOptions } from '../src/index.js'

const leasePeriod = 1500
const tokens = 300
const tokenTime = 20

/** Allowance for delayed timers and scheduling on a busy machine, in ms. */
const timerSlack = 600

async function withFleet (run: (fleet: Fleet) => Promise<void>, engine: EngineOptions = { tokenTime, tokens }): Promise<void> {
  const fleet = new Fleet({ engines: 5, plain: 0, period: leasePeriod, engine })
  try {
    await fleet.start()
    await run(fleet)
  } finally {
    await fleet.stop()
  }
}

/** Reads a stream as its parts arrive, and records when they arrive. */
class StreamReader {
  text = ''
  lastAt = 0
  /** Maximum time between two parts, in ms. */
  maxGap = 0
  readonly ended: Promise<string>
  #onPart = (): void => {}

  constructor (response: Response) {
    this.ended = this.#read(response)
  }

  async #read (response: Response): Promise<string> {
    const decoder = new TextDecoder()
    try {
      for await (const chunk of response.body as unknown as AsyncIterable<Uint8Array>) {
        const now = Date.now()
        if (this.lastAt > 0) this.maxGap = Math.max(this.maxGap, now - this.lastAt)
        this.lastAt = now
        this.text += decoder.decode(chunk, { stream: true })
        this.#onPart()
      }
      return 'end'
    } catch {
      return 'cut'
    }
  }

  /** Resolves when the next part has arrived. */
  nextPart (): Promise<void> {
    return new Promise(resolve => { this.#onPart = resolve })
  }

  get words (): string[] {
    return [...this.text.matchAll(/"content":"([^"]*)"/g)].map(each => each[1])
  }

  async waitForStart (): Promise<void> {
    for (let tries = 0; this.words.length < 5; tries++) {
      if (tries > 1000) throw new Error(`The stream had fewer than 5 tokens after 10 s: ${this.text}`)
      await new Promise(resolve => setTimeout(resolve, 10))
    }
  }
}

async function openStream (address: string, headers: Record<string, string> = {}, more: object = {}): Promise<StreamReader> {
  const response = await fetch(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${trialKey}`, ...headers },
    body: JSON.stringify({ model: modelName, stream: true, messages: [{ role: 'user', content: 'Long' }], ...more })
  })
  return new StreamReader(response)
}

/** Asserts that the stream is complete: every token once, in order, then `[DONE]`. */
function assertComplete (t: ExecutionContext, text: string, count = tokens): void {
  t.deepEqual([...text.matchAll(/"content":"([^"]*)"/g)].map(each => each[1]), answerWords('Long', count))
  t.true(text.endsWith('data: [DONE]\n\n'))
}

async function waitForMembers (fleet: Fleet): Promise<string[]> {
  return (await fleet.waitForStatus(status => status.replicas[0]?.serving ?? false)).replicas[0].members
}

for (const signal of ['SIGKILL', 'SIGSTOP'] as const) {
  test.serial(`a replica whose member gets ${signal} stops within a grant period, and the caller's stream completes on the repaired replica`, async t => {
    await withFleet(async fleet => {
      const [head, member] = await waitForMembers(fleet)
      const direct = await openStream(fleet.worker(head).address)
      const stream = await openStream(fleet.entries[0].callers)
      await Promise.all([direct.waitForStart(), stream.waitForStart()])
      const lostAt = Date.now()
      fleet.worker(member).child.signal(signal)
      t.is(await direct.ended, 'cut')
      const served = direct.lastAt - lostAt
      t.log(`last byte ${served} ms after the loss, grant period ${leasePeriod} ms`)
      t.true(served <= leasePeriod + timerSlack)
      t.is(await stream.ended, 'end')
      t.log(`longest gap in the caller's stream: ${stream.maxGap} ms`)
      assertComplete(t, stream.text)
      t.false((await waitForMembers(fleet)).includes(member))
      if (signal === 'SIGSTOP') {
        fleet.worker(member).child.signal('SIGCONT')
        const status = await fleet.waitForStatus(each => each.nodes.some(node => node.id === member && node.health === 'live'))
        t.is(status.replicas.filter(each => each.members.includes(member)).length, 0)
      }
    })
  })
}

/**
 * An engine slow enough for the freeze to fall between two tokens. design/leases.md allows one part that is checked
 * just before a freeze and written just after it. With a fast engine such a part would fail the test, although it is no
 * fault.
 */
const slow = { tokenTime: 150, tokens: 50 }

test.serial('a head that wakes from a freeze longer than its grants sends no further byte and refuses the request that waits in its sockets', async t => {
  await withFleet(async fleet => {
    const [head] = await waitForMembers(fleet)
    const direct = await openStream(fleet.worker(head).address)
    const stream = await openStream(fleet.entries[0].callers)
    await Promise.all([direct.waitForStart(), stream.waitForStart()])
    await direct.nextPart()
    fleet.worker(head).child.signal('SIGSTOP')
    const waiting = fetch(`http://${fleet.worker(head).address}/v1/chat/completions`, { method: 'POST', body: JSON.stringify({ model: modelName, messages: [{ role: 'user', content: 'x' }] }) })
    await new Promise(resolve => setTimeout(resolve, leasePeriod + 200))
    const before = direct.text.length
    fleet.worker(head).child.signal('SIGCONT')
    t.is(await direct.ended, 'cut')
    t.is(direct.text.length, before)
    const refused = await (await waiting).json() as { error: { code: string, outcome: string } }
    t.deepEqual([refused.error.code, refused.error.outcome], ['not-serving', 'not-run'])
    t.is(await stream.ended, 'end')
    assertComplete(t, stream.text, slow.tokens)
  }, slow)
})

test.serial('when a head freezes and stays frozen, the stream completes under another head', async t => {
  await withFleet(async fleet => {
    const [head] = await waitForMembers(fleet)
    const stream = await openStream(fleet.entries[0].callers)
    await stream.waitForStart()
    fleet.worker(head).child.signal('SIGSTOP')
    t.is(await stream.ended, 'end')
    t.log(`longest gap in the caller's stream: ${stream.maxGap} ms`)
    assertComplete(t, stream.text)
  })
})

test.serial('a replica whose member is cut only from the head stops, and gets another member', async t => {
  await withFleet(async fleet => {
    const [head, member] = await waitForMembers(fleet)
    const forwarder = new Forwarder(fleet.worker(member).address)
    await forwarder.start()
    await fleet.setNodes(fleet.nodes().map(node => node.id === member ? { ...node, address: forwarder.address } : node))
    await fleet.waitForAddress(member, forwarder.address)
    // A head uses the new address from its next tenure.
    await fleet.operators().leave({ id: head })
    await fleet.waitForStatus(status => status.replicas[0].members[0] !== head && status.replicas[0].serving)
    await fleet.operators().return({ id: head })
    const [other] = await waitForMembers(fleet)
    const direct = await openStream(fleet.worker(other).address)
    await direct.waitForStart()
    const cutAt = Date.now()
    forwarder.cut()
    t.is(await direct.ended, 'cut')
    t.true(direct.lastAt - cutAt <= leasePeriod + timerSlack)
    const mended = await fleet.waitForStatus(status => status.replicas[0].serving && !status.replicas[0].members.includes(member))
    t.is(mended.nodes.find(each => each.id === member)?.replica, '')
    forwarder.stop()
  })
})

test.serial('when an entry is killed in the middle of a stream, the caller resumes at another entry and gets every token once', async t => {
  await withFleet(async fleet => {
    const [first, second] = fleet.entries
    const stream = await openStream(first.callers)
    await stream.waitForStart()
    first.child.signal('SIGKILL')
    await stream.ended
    t.false(stream.text.includes('[DONE]'))
    const completeEvents = stream.text.slice(0, stream.text.lastIndexOf('\n\n') + 2)
    const received = [...completeEvents.matchAll(/"content":"([^"]*)"/g)].map(each => each[1])
    const ids = [...completeEvents.matchAll(/^id: (\d+)$/gm)].map(each => each[1])
    const resumed = await openStream(second.callers, { 'last-event-id': ids[ids.length - 1] }, { resume: { text: received.join('') } })
    t.is(await resumed.ended, 'end')
    t.deepEqual([...received, ...resumed.words], answerWords('Long', tokens))
  })
})
