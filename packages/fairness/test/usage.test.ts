/** What teams were served, their shares, and what callers say. */
import test from 'ava'
import { TeamUsage, UsualPatience } from '../src/index.js'

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
