/** What teams were served, their shares, what callers say, and what they are told. */
import test from 'ava'
import { Returns, TeamUsage, UsualPatience, isPromised } from '../src/index.js'

test('what was served halves every 10 s', t => {
  const usage = new TeamUsage()
  usage.served('a', 8, 1000)
  t.is(usage.of('a', 1000), 8)
  t.is(usage.of('a', 11_000), 4)
  t.is(usage.of('a', 21_000), 2)
  t.is(usage.of('b', 1000), 0)
})

/** Five teams that usually ask for ten requests a second each, for a minute; a fifth of them served by nobody yet. */
function usual (): { readonly usage: TeamUsage, readonly now: number } {
  const usage = new TeamUsage()
  let now = 0
  for (; now < 60_000; now += 100) {
    for (const team of ['a', 'b', 'c', 'd', 'e']) {
      usage.asked(team, 1, now)
      usage.served(team, 1, now)
    }
  }
  return { usage, now }
}

test('no team is above its share on a usual day; one that sends ten times its usual is within two seconds, and no longer once it sends its usual', t => {
  const { usage, now } = usual()
  for (const team of ['a', 'b']) t.false(usage.isAbove(team, now))
  let time = now
  for (; time < now + 2000; time += 10) {
    usage.asked('a', 1, time)
    usage.served('a', 1, time)
  }
  t.true(usage.isAbove('a', time))
  t.false(usage.isAbove('b', time))
  t.false(usage.isAbove('a', time + 20_000))
})

test('a team that is served its usual is not above its share when the others get less', t => {
  const { usage, now } = usual()
  let time = now
  for (; time < now + 60_000; time += 100) {
    for (const team of ['a', 'b', 'c', 'd', 'e']) usage.asked(team, 1, time)
    usage.served('a', 1, time)
  }
  t.false(usage.isAbove('a', time))
})

test('a team that seldom asks still has a weight, and one that was never seen', t => {
  const { usage, now } = usual()
  usage.asked('seldom', 1, now)
  t.true(usage.weight('seldom') >= 0.25)
  t.true(usage.weight('unknown') >= 0.25)
  t.true(usage.weight('a') > 0.9)
})

test('a caller that says less than is usual has spent the difference', t => {
  const patience = new UsualPatience()
  let now = 0
  for (let count = 0; count < 30; count++) {
    t.is(patience.spent('r', 8000, now += 10), 0)
    if (count > 0) t.is(patience.spent('r', 6900 - count * 7, now), 1100 + count * 7)
  }
  t.is(patience.spent('r', 7990, now), 0)
  t.is(patience.spent('r', 12_000, now), 0)
  t.is(patience.spent('other', 100, now), 0)
})

test('where callers choose their own times, nobody counts as come back', t => {
  const patience = new UsualPatience()
  let spent = 0
  for (let count = 0; count < 500; count++) {
    if (patience.spent('r', 2000 + (count * 7919) % 6000, count * 10) > 0 && count > 10) spent++
  }
  t.true(spent <= 5, String(spent))
})

test('callers are promised places as fast as these come free, and no later than they heed; the others are told longer', t => {
  const returns = new Returns()
  // A place every 333 ms is kept for promises.
  const told = Array.from({ length: 6 }, () => Math.round(returns.tell(100, 6000, 1000)))
  t.deepEqual(told, [900, 1233, 1567, 3000, 3000, 3000])
  t.is(Math.round(returns.tell(100, 6000, 1100)), 3000)
  t.is(Math.round(returns.tell(100, 6000, 1300)), 1600)
  for (const fresh of [new Returns(), returns]) t.is(fresh.tell(0, 6000, 1300), 900)
  t.is(new Returns().tell(0.001, 6000, 1300), 900)
  t.is(new Returns().tell(100, 500, 1300), 900)
})

test('a return shows whether it was promised a place', t => {
  const patience = 6000
  for (const wait of [0, 110]) {
    for (const told of [900, 1233, 1567]) t.true(isPromised(wait + told, patience), String(told))
    // Those without a promise come after a third of their time, or later.
    t.false(isPromised(wait + (patience - wait) / 3, patience))
  }
  t.false(isPromised(0, patience))
  t.false(isPromised(160, patience))
})
