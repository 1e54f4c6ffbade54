/** How long a request would wait, and when it is right to refuse it at once. */
import test from 'ava'
import fc from 'fast-check'
import { PlaceRate, TeamUsage, expectedWait, mostRate, nextServed, type Waiting } from '../src/index.js'
import { drawn } from './requests.js'

const now = 50_000

function waiting (change: Partial<Waiting> = {}): Waiting {
  return { priority: 1, team: 'a', work: 1, arrivedAt: now, inTimeUntil: now + 500, until: now + 110, ...change }
}

const table: ReadonlyArray<readonly [string, Waiting[], number, number]> = [
  ['the next place, where nobody waits', [], 100, 10],
  ['its turn, behind those before it', [waiting({ arrivedAt: now - 2 }), waiting({ arrivedAt: now - 1 })], 100, 30],
  ['not for those that are less urgent', [waiting({ priority: 2, arrivedAt: now - 50 })], 100, 10],
  ['not for those that leave before their turn', [waiting({ priority: 0, until: now + 5 })], 100, 10],
  ['in vain, where places come too late', [waiting({ arrivedAt: now - 1 })], 15, Infinity],
  ['in vain, where none comes free', [], 0, Infinity]
]

for (const [what, others, rate, wait] of table) {
  test(`a request waits for ${what}`, t => t.is(expectedWait(waiting(), others, new TeamUsage(), rate, now), wait))
}

const any = drawn(now)

/** Plays what comes: a place every `1 / rate` s, and nobody else. Returns when one request is served, if it is. */
function served (request: Waiting, others: readonly Waiting[], rate: number): number {
  let left = [...others, request]
  for (let time = now + 1000 / rate; time <= now + 1000; time += 1000 / rate) {
    const next = nextServed(left, new TeamUsage(), time)
    if (next === request) return time
    left = left.filter(each => each !== next)
  }
  return Infinity
}

test('one that is refused at once would not have been served if nobody else came, and the time that is told is met', t => {
  const alike = any.map(each => ({ ...each, team: 'a', priority: 1, again: false, early: false, inTimeUntil: now + 1000 }))
  t.notThrows(() => fc.assert(fc.property(alike, fc.array(alike, { maxLength: 30 }), fc.integer({ min: 1, max: 300 }), (request, others, rate) => {
    const told = expectedWait(request, others, new TeamUsage(), rate, now)
    const at = served(request, others, rate)
    return told === Infinity ? at === Infinity : Math.abs(at - now - told) < 1
  }), { seed: 13, numRuns: 500 }))
})

test('the wait is never beyond the time of the request, and what others were served is not changed by asking', t => {
  t.notThrows(() => fc.assert(fc.property(any, fc.array(any, { maxLength: 30 }), fc.integer({ min: 1, max: 300 }), (request, others, rate) => {
    const usage = new TeamUsage()
    usage.served('a', 3, now, '1 first')
    const wait = expectedWait(request, others, usage, rate, now)
    return (wait === Infinity || now + wait <= request.until) && usage.of('a', now) === 3 && usage.of('b', now) === 0
  }), { seed: 17, numRuns: 300 }))
})

test('the rate of places is known after a second in which requests waited, and forgotten after one in which none did', t => {
  const rate = new PlaceRate()
  let time = now
  const take = (count: number, contended: boolean): void => {
    for (let index = 0; index < count; index++) rate.taken(contended, time += 10)
  }
  take(200, false)
  t.is(rate.of(time), undefined)
  take(90, true)
  t.is(rate.of(time), undefined)
  take(400, true)
  t.true(Math.abs((rate.of(time) ?? 0) - 100) < 5)
  take(101, false)
  t.is(rate.of(time), undefined)
})

test('in a short time, more places than the rate gives are thought possible', t => {
  t.is(Math.round(mostRate(100, 110) * 0.11), 17)
  t.true(mostRate(0, 110) * 0.11 >= 0.99)
})
