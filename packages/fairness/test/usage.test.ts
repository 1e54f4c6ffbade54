/** The usage and shares of teams, and the usual maximum wait of callers. */
import test from 'ava'
import { TeamUsage, UsualMaxWaits } from '../src/index.js'

test('the usage of a team halves every 10 s', t => {
  const usage = new TeamUsage()
  usage.recordServed('a', 8, 1000)
  t.is(usage.servedTo('a', 1000), 8)
  t.is(usage.servedTo('a', 11_000), 4)
  t.is(usage.servedTo('a', 21_000), 2)
  t.is(usage.servedTo('b', 1000), 0)
})

/** The usage after a minute in which five teams sent ten requests per second each, and all were served. */
function usual (): { readonly usage: TeamUsage, readonly now: number } {
  const usage = new TeamUsage()
  let now = 0
  for (; now < 60_000; now += 100) {
    for (const team of ['a', 'b', 'c', 'd', 'e']) {
      usage.recordRequest(team, 1, now)
      usage.recordServed(team, 1, now)
    }
  }
  return { usage, now }
}

test('no team is above its share at its usual demand, and a team with ten times its usual demand is above it within two seconds and no longer 20 s later', t => {
  const { usage, now } = usual()
  for (const team of ['a', 'b']) t.false(usage.isAboveShare(team, now))
  let time = now
  for (; time < now + 2000; time += 10) {
    usage.recordRequest('a', 1, time)
    usage.recordServed('a', 1, time)
  }
  t.true(usage.isAboveShare('a', time))
  t.false(usage.isAboveShare('b', time))
  t.false(usage.isAboveShare('a', time + 20_000))
})

test('a team that gets its usual demand is not above its share even if the others get nothing', t => {
  const { usage, now } = usual()
  let time = now
  for (; time < now + 60_000; time += 100) {
    for (const team of ['a', 'b', 'c', 'd', 'e']) usage.recordRequest(team, 1, time)
    usage.recordServed('a', 1, time)
  }
  t.false(usage.isAboveShare('a', time))
})

test('teams with few requests and unknown teams have at least the minimum weight', t => {
  const { usage, now } = usual()
  usage.recordRequest('rare', 1, now)
  t.true(usage.weight('rare') >= 0.25)
  t.true(usage.weight('unknown') >= 0.25)
  t.true(usage.weight('a') > 0.9)
})

test('the time that a caller has waited is the usual maximum wait less its own', t => {
  const maxWaits = new UsualMaxWaits()
  let now = 0
  for (let count = 0; count < 30; count++) {
    t.is(maxWaits.spent('r', 8000, now += 10), 0)
    if (count > 0) t.is(maxWaits.spent('r', 6900 - count * 7, now), 1100 + count * 7)
  }
  t.is(maxWaits.spent('r', 7990, now), 0)
  t.is(maxWaits.spent('r', 12_000, now), 0)
  t.is(maxWaits.spent('other', 100, now), 0)
})

test('if callers choose individual maximum waits, almost no request counts as a retry', t => {
  const maxWaits = new UsualMaxWaits()
  let spent = 0
  for (let count = 0; count < 500; count++) {
    if (maxWaits.spent('r', 2000 + (count * 7919) % 6000, count * 10) > 0 && count > 10) spent++
  }
  t.true(spent <= 5, String(spent))
})
