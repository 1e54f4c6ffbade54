/** The order of waiting requests: a table of the rules, and properties of random requests. */
import test from 'ava'
import fc from 'fast-check'
import { TeamUsage, compareWaiting, decidingRule, kindOf as kind, nextServed, servingOrder, type Rule, type WaitingRequest } from '../src/index.js'
import { drawn, teams } from './requests.js'

const now = 100_000

function waiting (change: Partial<WaitingRequest> = {}): WaitingRequest {
  return { priority: 1, team: 'a', work: 1, arrivedAt: now - 50, inTimeUntil: now + 400, until: now + 60, ...change }
}

/** The usage of two teams, of which `b` was served ten times as much as `a`. */
function unequal (): TeamUsage {
  const usage = new TeamUsage()
  for (let count = 0; count < 20; count++) usage.recordServed('a', 1, now)
  for (let count = 0; count < 200; count++) usage.recordServed('b', 1, now)
  return usage
}

const pairs: ReadonlyArray<readonly [Rule, Partial<WaitingRequest>, Partial<WaitingRequest>]> = [
  ['came back early', { team: 'b' }, { early: true, again: true }],
  ['team above its share', { inTimeUntil: now - 1, priority: 3 }, { team: 'b' }],
  ['late', { priority: 3 }, { inTimeUntil: now - 1 }],
  ['less urgent', { again: true }, { priority: 2 }],
  ['came back', { inTimeUntil: now + 500 }, { again: true }],
  ['more time left', { arrivedAt: now }, { inTimeUntil: now + 500 }],
  ['came later', {}, { arrivedAt: now - 49 }]
]

for (const [rule, first, second] of pairs) {
  test(`a request is served after another one by the rule: ${rule}`, t => {
    const [a, b] = [waiting(first), waiting(second)]
    const usage = unequal()
    t.is(decidingRule(b, a, usage, now), rule)
    t.is(decidingRule(a, b, usage, now), undefined)
    t.is(nextServed([b, a], usage, now), a)
  })
}

test('of two teams within their shares, the one with less usage relative to its usual demand is served first', t => {
  const usage = new TeamUsage()
  for (let time = now - 60_000; time < now; time += 1000) {
    usage.recordRequest('b', 3, time)
    usage.recordRequest('a', 1, time)
  }
  for (let count = 0; count < 12; count++) usage.recordServed('a', 1, now)
  for (let count = 0; count < 24; count++) usage.recordServed('b', 1, now)
  t.is(decidingRule(waiting(), waiting({ team: 'b' }), usage, now), 'team was served more')
})

test('a request whose wait has ended is not served', t => {
  t.is(nextServed([waiting({ until: now - 1 })], new TeamUsage(), now), undefined)
  t.deepEqual(servingOrder([waiting({ until: now - 1 })], new TeamUsage(), now), [])
})

const any = drawn(now)

/** The usage of each team. */
const amounts = fc.tuple(...teams.map(() => fc.integer({ min: 0, max: 300 })))

function usageOf (counts: readonly number[]): TeamUsage {
  const usage = new TeamUsage()
  for (const [index, team] of teams.entries()) usage.recordServed(team, counts[index], now, '1 first')
  return usage
}

test('the order of requests is antisymmetric and transitive', t => {
  t.notThrows(() => fc.assert(fc.property(any, any, any, amounts, (a, b, c, counts) => {
    const usage = usageOf(counts)
    const order = (x: WaitingRequest, y: WaitingRequest): number => Math.sign(compareWaiting(x, y, usage, now))
    if (order(a, b) + order(b, a) !== 0) return false
    return !(order(a, b) <= 0 && order(b, c) <= 0) || order(a, c) <= 0
  }), { seed: 3, numRuns: 3000 }))
})

test('a request of a team within its share is served before one of a team above its share if both are of one kind', t => {
  t.notThrows(() => fc.assert(fc.property(fc.array(any, { minLength: 1, maxLength: 20 }), amounts, (some, counts) => {
    const usage = usageOf(counts)
    const present = some.map(each => ({ ...each, early: false, priority: 1, inTimeUntil: now, again: false }))
    const next = nextServed(present, usage, now)
    return next !== undefined && (!usage.isAboveShare(next.team, now) || present.every(each => usage.isAboveShare(each.team, now)))
  }), { seed: 5, numRuns: 1000 }))
})

/** Serves requests that return to the queue as soon as they are served. Returns how often each was served. */
function serveAlways (requests: readonly WaitingRequest[], places: number, usage = new TeamUsage()): number[] {
  const counts = requests.map(() => 0)
  for (let place = 0; place < places; place++) {
    const time = now + place * 10
    const present = requests.map(each => ({ ...each, until: Infinity, arrivedAt: time, inTimeUntil: each.inTimeUntil - now + time }))
    const next = nextServed(present, usage, time)
    if (next === undefined) break
    counts[present.indexOf(next)]++
    usage.recordServed(next.team, next.work, time, kind(next, time))
  }
  return counts
}

test('teams with permanent demand get equal amounts of work, regardless of the size of their requests', t => {
  t.notThrows(() => fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 8 }), { minLength: 2, maxLength: 6 }), sizes => {
    const counts = serveAlways(sizes.map((work, index) => waiting({ team: `t${index}`, work })), 400)
    const work = counts.map((count, index) => count * sizes[index])
    return Math.max(...work) - Math.min(...work) <= 2 * Math.max(...sizes) * sizes.length
  }), { seed: 7, numRuns: 50 }))
})

test('no kind of permanently waiting requests starves: each is served at least once within 400 places', t => {
  t.notThrows(() => fc.assert(fc.property(fc.array(any, { minLength: 2, maxLength: 6 }), some => {
    const kinds = new Set(some.map(each => kind(each, now)))
    const counts = serveAlways(some, 400)
    return [...kinds].every(each => some.some((one, index) => kind(one, now) === each && counts[index] > 0))
  }), { seed: 9, numRuns: 100 }))
})
