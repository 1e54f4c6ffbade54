/** The choice of a replica by open requests, session and prefix; the table of prefixes; the retry budget. */
import test from 'ava'
import { ManualClock, seeded } from '@eiderwind/clock'
import { Affinity, BalancedPolicy, RetryBudget, noPreference, prefixDigests, type Candidate, type Preference } from '../src/index.js'

function candidate (id: string, more: Partial<Candidate> = {}): Candidate {
  return { id, reported: 0, concurrency: 10, open: 0, unseen: 0, ...more }
}

interface Case {
  readonly title: string
  readonly preference: Preference
  /** Number of open requests of this entry at a, b, c and d. */
  readonly open: readonly number[]
  readonly picked: string
}

const cases: readonly Case[] = [
  { title: 'the session\'s first replica while it has at most 4 more open requests', preference: { session: ['b', 'c'], prefix: [] }, open: [0, 4, 0, 0], picked: 'b' },
  { title: 'the session\'s second replica if the first is too busy', preference: { session: ['b', 'c'], prefix: [] }, open: [0, 5, 4, 0], picked: 'c' },
  { title: 'the least busy replica if all of the session\'s replicas are too busy', preference: { session: ['b', 'c'], prefix: [] }, open: [1, 9, 9, 2], picked: 'a' },
  { title: 'the session\'s replica within the factor of 1.5, if all are busy', preference: { session: ['b'], prefix: [] }, open: [20, 30, 40, 40], picked: 'b' },
  { title: 'the least busy replica if the session\'s replica exceeds the factor', preference: { session: ['b'], prefix: [] }, open: [20, 31, 40, 40], picked: 'a' },
  { title: 'the least busy of the replicas that served the prefix', preference: { session: [], prefix: ['z', 'c', 'd'] }, open: [0, 0, 3, 2], picked: 'd' },
  { title: 'the session\'s replica before one that served the prefix', preference: { session: ['b'], prefix: ['c'] }, open: [0, 1, 0, 0], picked: 'b' },
  { title: 'the least busy replica if the request has no preference', preference: noPreference, open: [3, 1, 2, 3], picked: 'b' }
]

for (const { title, preference, open, picked } of cases) {
  test(`the policy picks ${title}`, t => {
    const candidates = open.map((each, index) => candidate('abcd'[index], { open: each }))
    t.is(new BalancedPolicy({ random: seeded(1) }).pick(candidates, preference).id, picked)
  })
}

test('of equally busy replicas, the one that was picked longest ago is picked, so that requests rotate', t => {
  const policy = new BalancedPolicy({ random: seeded(1) })
  const candidates = ['a', 'b', 'c', 'd'].map(id => candidate(id))
  const picks = Array.from({ length: 12 }, () => policy.pick(candidates, noPreference).id)
  t.is(new Set(picks.slice(0, 4)).size, 4)
  t.deepEqual(picks.slice(4, 8), picks.slice(0, 4))
  t.deepEqual(picks.slice(8), picks.slice(0, 4))
})

test('reported load does not affect the choice, since many entries receive the same old reports', t => {
  const reported = (order: readonly number[]): string => {
    const candidates = order.map((each, index) => candidate('abc'[index], { reported: each, open: index }))
    return new BalancedPolicy({ random: seeded(1) }).pick(candidates, noPreference).id
  }
  t.is(reported([9, 0, 0]), 'a')
  t.is(reported([0, 9, 9]), 'a')
})

test('entries that start together begin with different replicas', t => {
  const candidates = Array.from({ length: 20 }, (_each, index) => candidate(`r${index}`))
  const picked = new Set(Array.from({ length: 50 }, (_each, index) => new BalancedPolicy({ random: seeded(index) }).pick(candidates, noPreference).id))
  t.true(picked.size > 5)
})

test('affinity returns the replicas that served the longest known prefix, latest first', t => {
  const affinity = new Affinity()
  const prompt = 'x'.repeat(1000)
  affinity.recordServed('a', prefixDigests(prompt))
  affinity.recordServed('b', prefixDigests(prompt.slice(0, 600)))
  t.deepEqual([...affinity.replicasFor(prefixDigests(`${prompt}y`))], ['a'])
  t.deepEqual([...affinity.replicasFor(prefixDigests(`${prompt.slice(0, 600)}${'y'.repeat(600)}`))], ['b', 'a'])
  t.deepEqual([...affinity.replicasFor(prefixDigests('short'))], [])
})

test('affinity evicts the least recently used block first', t => {
  const affinity = new Affinity(2)
  for (const block of [1, 2, 1, 3]) affinity.recordServed(`r-${block}`, [block])
  t.deepEqual([1, 2, 3].map(block => [...affinity.replicasFor([block])]), [['r-1'], [], ['r-3']])
})

test('retries are limited to a share of the traffic, and saved-up retries to a maximum', t => {
  const clock = new ManualClock()
  const budget = new RetryBudget(clock, { share: 0.1, floor: 0, maxTokens: 5 })
  t.false(budget.withdraw())
  for (let index = 0; index < 25; index++) budget.deposit()
  t.deepEqual([1, 2, 3].map(() => budget.withdraw()), [true, true, false])
  for (let index = 0; index < 1000; index++) budget.deposit()
  t.is(Array.from({ length: 20 }, () => budget.withdraw()).filter(Boolean).length, 5)
})
