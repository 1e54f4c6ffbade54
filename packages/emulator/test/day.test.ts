/** Simulated days: what they measure, and that the same seed gives the same result. */
import { readFileSync, readdirSync } from 'node:fs'
import test from 'ava'
import { Day, simulateDay } from '../src/index.js'
import { service } from './world.js'

function day (difference: object = {}): Day {
  return Day.parse({
    service,
    domains: 3,
    nodes: 10,
    lead: 8000,
    length: 6000,
    demand: [{ model: 'large', requests: 24, credit: 2 }, { model: 'small', requests: 48, credit: 1 }],
    deaths: { every: 1e9, gone: 1000 },
    ...difference
  })
}

test('a day without faults serves all requests, uses the engines of the replicas only and loads nothing', async t => {
  const result = await simulateDay(day(), 1)
  t.is(result.served, 1)
  t.is(result.worst, 1)
  t.is(result.loads, 0)
  // Three replicas of 4 engines and six of 2 use 24 of the 30 engines.
  t.true(Math.abs(result.used - 24 / 30) < 1e-9)
})

test('requests without slots are not served, and lower the result by their credit and that of their model', async t => {
  const { served, worstModel } = await simulateDay(day({ domains: 1, nodes: 6, demand: [{ model: 'large', requests: 48, credit: 2 }, { model: 'small', requests: 24, credit: 1 }] }), 1)
  t.true(Math.abs(worstModel - 0.5) < 1e-9)
  t.true(Math.abs(served - (24 * 2 + 24) / (48 * 2 + 24)) < 1e-9)
})

test('dead engines and a dead domain lower the served share, and only the same seed gives the same result', async t => {
  const hard = day({ length: 12_000, deaths: { every: 800, gone: 2000 }, dark: 3000, added: 2000, late: 0.2 })
  const [first, again, other] = [await simulateDay(hard, 5), await simulateDay(hard, 5), await simulateDay(hard, 6)]
  t.deepEqual(first, again)
  t.notDeepEqual(first, other)
  t.true(first.served < 1)
  t.true(first.worst <= first.served)
  t.is(first.broken, 0)
})

test('a day whose service has no engine is refused with a message that asks for one', async t => {
  await t.throwsAsync(async () => await simulateDay(day({ service: { name: 'plain', connections: 5 } }), 1), { message: /Give its engine/ })
})

test('every file in experiments/days fits the schema of a day', t => {
  const folder = new URL('../../../../experiments/days/', import.meta.url)
  for (const file of readdirSync(folder)) t.notThrows(() => Day.parse(JSON.parse(readFileSync(new URL(file, folder), 'utf8'))), file)
})
