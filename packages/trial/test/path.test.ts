/**
 * Requests over the complete path: caller, entry, worker, then engine or plain service. Daemons and stand-ins are
 * processes.
 */
import test from 'ava'
import { Fleet, answerWords, modelName, plainName, trialKey } from '../src/index.js'

const prompt = 'Why did my recharge stall?'
let fleet: Fleet

test.before(async () => {
  fleet = new Fleet()
  await fleet.start()
  await fleet.waitUntilKeysAccepted()
})

test.after.always(async () => {
  await fleet.stop()
})

function complete (stream: boolean): Promise<Response> {
  return fetch(`http://${fleet.entries[0].callers}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${trialKey}` },
    body: JSON.stringify({ model: modelName, stream, messages: [{ role: 'user', content: prompt }] })
  })
}

test('a streamed completion is complete and in order, and ends with [DONE]', async t => {
  const response = await complete(true)
  const text = await response.text()
  t.is(response.headers.get('content-type'), 'text/event-stream')
  const words = [...text.matchAll(/"content":"([^"]*)"/g)].map(each => each[1])
  t.deepEqual(words, answerWords(`${prompt}`, 24))
  t.deepEqual([...text.matchAll(/^id: (\d+)$/gm)].map(each => Number(each[1])), Array.from({ length: 25 }, (_each, index) => index + 1))
  t.true(text.endsWith('data: [DONE]\n\n'))
})

test('a completion that is not streamed is complete', async t => {
  const response = await complete(false)
  const answer = await response.json() as { choices: { message: { content: string } }[] }
  t.is(answer.choices[0].message.content, answerWords(prompt, 24).join(''))
})

test('a request sent with one key through two entries at once runs once, and both get the same answer', async t => {
  const key = '0190b0a0-0000-7000-8000-000000000001'.replace('0190b0a0-0000', hexNow())
  const postTopUp = (entry: number): Promise<Response> => fetch(`http://${fleet.entries[entry].callers}/services/${plainName}/topups`, {
    method: 'POST',
    headers: { authorization: `Bearer ${trialKey}`, 'idempotency-key': key },
    body: '{"amount":200}'
  })
  const [first, second] = await Promise.all([postTopUp(0), postTopUp(1)])
  t.is(first.status, 200)
  t.is(second.status, 200)
  t.is(await first.text(), await second.text())
  t.is(await executionCount('{"amount":200}'), 1)
})

async function executionCount (body: string): Promise<number> {
  const lists = await Promise.all(fleet.workers.filter(each => each.service !== undefined).map(async worker => {
    const response = await fetch(`${worker.upstreamUrl}/executions`)
    return await response.json() as { body: string }[]
  }))
  return lists.flat().filter(each => each.body === body).length
}

/** The present time as the first 48 bits of a UUID of version 7. */
function hexNow (): string {
  const hex = Date.now().toString(16).padStart(12, '0')
  return `${hex.slice(0, 8)}-${hex.slice(8)}`
}
