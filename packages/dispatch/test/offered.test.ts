/** The offered load of each model if a part of the requests is refused. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { OfferedLoad } from '../src/index.js'

interface Counted {
  readonly inFlight: number
  readonly rate: number
}

function offered (counts: Readonly<Record<string, Counted>>): { load: OfferedLoad, clock: ManualClock } {
  const clock = new ManualClock()
  const models = Object.fromEntries(Object.entries(counts).map(([model, { inFlight }]) => [model, inFlight]))
  const load = new OfferedLoad(clock, { models: () => models, rate: model => counts[model]?.rate ?? 0 })
  for (let sample = 0; sample < 20; sample++) load.sample()
  return { load, clock }
}

test('without refusals the offered load equals the requests in flight', t => {
  const { load } = offered({ large: { inFlight: 12, rate: 4 }, small: { inFlight: 30, rate: 30 } })
  t.deepEqual(load.models, { large: 12, small: 30 })
})

test('of two models with equal requests in flight, the one with more refusals has the higher offered load', t => {
  const { load } = offered({ large: { inFlight: 12, rate: 4 }, small: { inFlight: 12, rate: 4 } })
  for (let index = 0; index < 8; index++) load.countRefused('large')
  load.countRefused('small')
  t.deepEqual(load.models, { large: 36, small: 15 })
})

test('a model without replicas has an offered load from its refusals', t => {
  const { load } = offered({ small: { inFlight: 5, rate: 5 } })
  for (let index = 0; index < 40; index++) load.countRefused('large')
  t.deepEqual(load.models, { small: 5, large: 40 })
})

test('a refusal counts for one second', t => {
  const { load, clock } = offered({ small: { inFlight: 10, rate: 5 } })
  load.countRefused('small')
  clock.advance(999)
  t.deepEqual(load.models, { small: 12 })
  clock.advance(1)
  t.deepEqual(load.models, { small: 10 })
})
