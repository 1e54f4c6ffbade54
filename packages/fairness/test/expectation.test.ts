/** The expected wait of a request, and the rate of free places that it depends on. */
import test from 'ava'
import fc from 'fast-check'
import { PlaceRate, TeamUsage, expectedWait, maxRate, nextServed, type WaitingRequest } from '../src/index.js'
import { drawn } from './requests.js'

const now = 50_000

function waiting (change: Partial<WaitingRequest> = {}): WaitingRequest {
  return { priority: 1, team: 'a', work: 1, arrivedAt: now, inTimeUntil: now + 500, until: now + 110, ...change }
}

const table: ReadonlyArray<readonly [string, WaitingRequest[], number, number]> = [
  ['the next place if no other request waits', [], 100, 10],
  ['its place behind earlier requests', [waiting({ arrivedAt: now - 2 }), waiting({ arrivedAt: now - 1 })], 100, 30],
  ['its place before less urgent requests', [waiting({ priority: 2, arrivedAt: now - 50 })], 100, 10],
  ['its place if a request ahead leaves before it is served', [waiting({ priority: 0, until: now + 5 })], 100, 10],
  ['an infinite time if places become free too late', [waiting({ arrivedAt: now - 1 })], 15, Infinity],
  ['an infinite time if no place becomes free', [], 0, Infinity]
]

for (const [expectation, others, rate, wait] of table) {
  test(`a request waits for ${expectation}`, t => t.is(expectedWait(waiting(), others, new TeamUsage(), rate, now), wait))
}

const any = drawn(now)

/**
 * Simulates a free place every `1 / rate` s without new requests. Returns the time at which `request` is served, or
 * Infinity.
 */
function served (request: WaitingRequest, others: readonly WaitingRequest[], rate: number): number {
  let left = [...others, request]
  for (let time = now + 1000 / rate; time <= now + 1000; time += 1000 / rate) {
    const next = nextServed(left, new TeamUsage(), time)
    if (next === request) return time
    left = left.filter(each => each !== next)
  }
  return Infinity
}

test('without new requests, a request with an infinite expected wait is not served, and any other expected wait is exact', t => {
  const alike = any.map(each => ({ ...each, team: 'a', priority: 1, again: false, early: false, inTimeUntil: now + 1000 }))
  t.notThrows(() => fc.assert(fc.property(alike, fc.array(alike, { maxLength: 30 }), fc.integer({ min: 1, max: 300 }), (request, others, rate) => {
    const expected = expectedWait(request, others, new TeamUsage(), rate, now)
    const at = served(request, others, rate)
    return expected === Infinity ? at === Infinity : Math.abs(at - now - expected) < 1
  }), { seed: 13, numRuns: 500 }))
})

test('the expected wait never exceeds the wait of the request, and computing it does not change the usage', t => {
  t.notThrows(() => fc.assert(fc.property(any, fc.array(any, { maxLength: 30 }), fc.integer({ min: 1, max: 300 }), (request, others, rate) => {
    const usage = new TeamUsage()
    usage.recordServed('a', 3, now, '1 first')
    const wait = expectedWait(request, others, usage, rate, now)
    return (wait === Infinity || now + wait <= request.until) && usage.servedTo('a', now) === 3 && usage.servedTo('b', now) === 0
  }), { seed: 17, numRuns: 300 }))
})

test('the rate of places is known after a second with waiting requests, and unknown again after a second without', t => {
  const rate = new PlaceRate()
  let time = now
  const take = (count: number, contended: boolean): void => {
    for (let index = 0; index < count; index++) rate.recordTaken(contended, time += 10)
  }
  take(200, false)
  t.is(rate.rateAt(time), undefined)
  take(90, true)
  t.is(rate.rateAt(time), undefined)
  take(400, true)
  t.true(Math.abs((rate.rateAt(time) ?? 0) - 100) < 5)
  take(101, false)
  t.is(rate.rateAt(time), undefined)
})

test('the upper bound for a short time is higher than the expected number of places', t => {
  t.is(Math.round(maxRate(100, 110) * 0.11), 17)
  t.true(maxRate(0, 110) * 0.11 >= 0.99)
})
