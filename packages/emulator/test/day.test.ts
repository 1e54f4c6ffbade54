/** Emulated days: what they count, and that a seed gives the same day again. */
import { readFileSync, readdirSync } from 'node:fs'
import test from 'ava'
import { Day, playDay } from '../src/index.js'
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

test('a day without trouble serves everything, with the engines of the replicas and no load', async t => {
  const result = await playDay(day(), 1)
  t.is(result.served, 1)
  t.is(result.worst, 1)
  t.is(result.loads, 0)
  // Three replicas of 4 and six of 2, of 30 engines.
  t.true(Math.abs(result.used - 24 / 30) < 1e-9)
})

test('what there are no slots for is not served, by its credit and by its model', async t => {
  const { served, worstModel } = await playDay(day({ domains: 1, nodes: 6, demand: [{ model: 'large', requests: 48, credit: 2 }, { model: 'small', requests: 24, credit: 1 }] }), 1)
  t.true(Math.abs(worstModel - 0.5) < 1e-9)
  t.true(Math.abs(served - (24 * 2 + 24) / (48 * 2 + 24)) < 1e-9)
})

test('engines that die and a domain that goes dark cost service; the same seed gives the same day, another one another', async t => {
  const hard = day({ length: 12_000, deaths: { every: 800, gone: 2000 }, dark: 3000, added: 2000, late: 0.2 })
  const [first, again, other] = [await playDay(hard, 5), await playDay(hard, 5), await playDay(hard, 6)]
  t.deepEqual(first, again)
  t.notDeepEqual(first, other)
  t.true(first.served < 1)
  t.true(first.worst <= first.served)
  t.is(first.broken, 0)
})

test('a day without an engine is refused with what to do', async t => {
  await t.throwsAsync(async () => await playDay(day({ service: { name: 'plain', connections: 5 } }), 1), { message: /Give its engine/ })
})

test('every day of the experiments is one', t => {
  const folder = new URL('../../../../experiments/days/', import.meta.url)
  for (const file of readdirSync(folder)) t.notThrows(() => Day.parse(JSON.parse(readFileSync(new URL(file, folder), 'utf8'))), file)
})
