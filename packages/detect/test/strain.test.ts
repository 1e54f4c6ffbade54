/** When a gateway that runs short of a resource sends new callers to others: series of samples, one each second. */
import test from 'ava'
import { Strain, type Usage } from '../src/index.js'

const bounds = { processor: { short: 30, enough: 10 }, memory: { short: 0.85, enough: 0.75 }, descriptors: { short: 0.85, enough: 0.75 } }
const idle: Usage = { processor: 1, memory: 0.3, descriptors: 0.1 }
const others = { live: 12, away: 0 }

/** The resource that is short after each second of a series. */
function causes (series: readonly Usage[], otherGateways = others): Array<string | undefined> {
  const strain = new Strain(bounds)
  return series.map((usage, second) => {
    strain.sample(usage, otherGateways, second * 1000)
    return strain.cause
  })
}

function repeat<Value> (count: number, value: Value): Value[] {
  return Array.from({ length: count }, () => value)
}

for (const [what, usage] of [['processor', { ...idle, processor: 30 }], ['memory', { ...idle, memory: 0.9 }], ['descriptors', { ...idle, descriptors: 1 }]] as const) {
  test(`a gateway short of ${what} for three seconds sends callers to others until there is enough`, t => {
    t.deepEqual(causes([usage, usage, usage, usage, idle, idle]), [undefined, undefined, what, what, undefined, undefined])
  })
}

test('a burst of two seconds sends no callers away', t => {
  const busy = { ...idle, processor: 400 }
  t.deepEqual(causes([busy, busy, idle, busy, busy, idle]), repeat(6, undefined))
})

test('usage between the two bounds changes nothing', t => {
  const between = { ...idle, processor: 20 }
  t.deepEqual(causes(repeat(20, between)), repeat(20, undefined))
  t.deepEqual(causes([...repeat(3, { ...idle, processor: 50 }), between, between]).slice(2), repeat(3, 'processor'))
})

test('under a lasting shortage a gateway still takes callers for more than seven eighths of the time', t => {
  const away = causes(repeat(1000, { processor: 500, memory: 1, descriptors: 1 })).filter(each => each !== undefined).length
  t.true(away > 0 && away < 1000 / 8, `${away} of 1,000 s away`)
})

test('at most a third of all gateways are away at a time, and a single gateway never is', t => {
  const busy = repeat(5, { ...idle, processor: 50 })
  t.is(causes(busy, { live: 5, away: 1 })[4], 'processor')
  t.is(causes(busy, { live: 5, away: 2 })[4], undefined)
  t.is(causes(busy, { live: 1, away: 0 })[4], undefined)
  t.is(causes(busy, { live: 0, away: 0 })[4], undefined)
})

test('a gateway that returned because there was enough may go away again only after nine times as long', t => {
  const busy = { ...idle, processor: 50 }
  const series = causes([...repeat(5, busy), idle, ...repeat(30, busy)])
  t.deepEqual(series.slice(0, 6), [undefined, undefined, 'processor', 'processor', 'processor', undefined])
  t.is(series.findIndex((each, second) => second > 5 && each !== undefined), 5 + 3 * 9)
})
