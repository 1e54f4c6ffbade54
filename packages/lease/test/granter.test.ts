import test from 'ava'
import { Granter, Holding, type Claim } from '../src/index.js'

const options = { maxPeriod: 1000, drift: 0.01, origin: 'g' }
const mark = { origin: 'g', turn: 1 }

function claim (holder: string, term = '1', more: Partial<Claim> = {}): Claim {
  return { resource: 'node', holder, term, period: 1000, ...more }
}

/** A granter after its initial wait, with one grant given at 2000. */
function granted (): Granter {
  return Granter.started(0, options).request(claim('a'), 2000).granter
}

interface Case {
  readonly title: string
  readonly claim: Claim
  readonly at: number
  readonly answer: string
}

const cases: readonly Case[] = [
  { title: 'the same holder and term', claim: claim('a'), at: 2500, answer: 'granted' },
  { title: 'another holder while the grant lasts', claim: claim('b'), at: 2500, answer: 'held' },
  { title: 'the same holder with another term', claim: claim('a', '2'), at: 2500, answer: 'held' },
  { title: 'another holder after the period, within the margin for drift', claim: claim('b'), at: 3005, answer: 'held' },
  { title: 'another holder after the margin for drift', claim: claim('b'), at: 3010, answer: 'granted' },
  { title: 'another holder for another resource', claim: claim('b', '1', { resource: 'other' }), at: 2500, answer: 'granted' },
  { title: 'the same holder with a period above the maximum', claim: claim('a', '1', { period: 1001 }), at: 2500, answer: 'period' }
]

for (const { title, claim, at, answer } of cases) {
  test(`a claim of ${title} is answered: ${answer}`, t => {
    const decision = granted().request(claim, at).answer
    t.is(decision.granted ? 'granted' : decision.reason, answer)
  })
}

test('a granter that has started refuses claims until the longest possible grant of its predecessor has expired', t => {
  const granter = Granter.started(5000, options)
  t.deepEqual(granter.request(claim('a'), 6009).answer, { granted: false, reason: 'starting', wait: 1 })
  t.true(granter.request(claim('a'), 6010).answer.granted)
})

test('a release frees the resource at once, and a release of another term has no effect', t => {
  t.false(granted().release(claim('a', '0')).request(claim('b'), 2100).answer.granted)
  t.true(granted().release(claim('a')).request(claim('b'), 2100).answer.granted)
})

test('a grant expires one period after its request was sent, and a late or duplicate answer does not shorten it', t => {
  const holding = Holding.empty(claim('a'), ['x', 'y'], 'all').withGrant('x', 100, mark).withGrant('y', 300, mark).withGrant('x', 50, mark)
  t.is(holding.until, 1100)
  t.true(holding.valid(1099))
  t.false(holding.valid(1100))
  t.deepEqual(holding.missing(1200), ['x'])
})

test('an answer to an earlier request does not replace the mark of a later one, and an ended grant has no current mark', t => {
  const holding = Holding.empty(claim('a'), ['x', 'y'], 'majority').withGrant('x', 100, { origin: 'g', turn: 3 }).withGrant('x', 50, mark).withGrant('y', 300, mark)
  t.is(holding.marks.get('x')?.turn, 3)
  t.deepEqual([...holding.currentMarks(1100).keys()], ['y'])
})

test('a majority is more than half of the granters, and grants of other granters do not count', t => {
  const holding = Holding.empty(claim('a'), ['x', 'y', 'z'], 'majority').withGrant('x', 0, mark).withGrant('q', 0, mark)
  t.false(holding.valid(1))
  t.true(holding.withGrant('z', 0, mark).valid(1))
  t.false(Holding.empty(claim('a'), [], 'majority').valid(0))
})

test('a new term gets the next turn, also after a release, and a renewal keeps its turn', t => {
  const turn = (granter: Granter, request: Claim, now: number): number => {
    const { answer } = granter.request(request, now)
    return answer.granted ? answer.mark.turn : 0
  }
  const first = granted()
  t.is(turn(first, claim('a'), 2100), 1)
  const released = first.release(claim('a'))
  t.is(turn(released, claim('b', '2'), 2200), 2)
  const second = released.request(claim('b', '2'), 2200).granter
  t.is(turn(second, claim('a', '1'), 9000), 3, 'a late duplicate claim of the first term gets a turn after the second term')
})
