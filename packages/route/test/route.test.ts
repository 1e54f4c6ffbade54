import test from 'ava'
import { ManualClock, seeded } from '@eiderwind/clock'
import { Affinity, Balanced, Budget, LeastOpen, RoundRobin, Uniform, prefixes, type Candidate, type Preference } from '../src/index.js'

const none: Preference = { session: undefined, prefix: [] }

function candidate (id: string, more: Partial<Candidate> = {}): Candidate {
  return { id, reported: 0, concurrency: 10, open: 0, unseen: 0, age: 0, firstByte: undefined, ...more }
}

test('a warm replica is kept within the guard, and left when it is too far ahead', t => {
  const policy = new Balanced({ random: seeded(1) })
  const others = [candidate('b', { reported: 4 }), candidate('c', { reported: 5 })]
  const warm: Preference = { session: 'a', prefix: [] }
  t.is(policy.pick([candidate('a', { reported: 6 }), ...others], warm).id, 'a')
  t.not(policy.pick([candidate('a', { reported: 7 }), ...others], warm).id, 'a')
  t.is(policy.pick([candidate('a', { reported: 6 }), ...others], { session: undefined, prefix: ['z', 'a'] }).id, 'a')
})

test('without warmth the less loaded of those compared is taken, counting what reports cannot know yet', t => {
  const policy = new Balanced({ random: seeded(1) })
  t.is(policy.pick([candidate('a', { reported: 3 }), candidate('b', { reported: 1, unseen: 1 })], none).id, 'b')
  t.is(policy.pick([candidate('a', { reported: 1 }), candidate('b', { reported: 0, unseen: 2 })], none).id, 'a')
})

test('a replica that has answered slowly of late is avoided', t => {
  const policy = new Balanced({ random: seeded(1) })
  t.is(policy.pick([candidate('a', { reported: 1, firstByte: 900 }), candidate('b', { reported: 3, firstByte: 50 })], none).id, 'b')
})

test('many entries with the same old reports do not all run to the same replica', t => {
  const candidates = Array.from({ length: 20 }, (_each, index) => candidate(`r${index}`, { reported: index }))
  const picked = new Set(Array.from({ length: 50 }, (_each, index) => new Balanced({ random: seeded(index) }).pick(candidates, none).id))
  t.true(picked.size > 5)
})

test('the baselines do what their names say', t => {
  const candidates = [candidate('a', { open: 2 }), candidate('b', { open: 1 }), candidate('c', { open: 3 })]
  const round = new RoundRobin()
  t.deepEqual([1, 2, 3, 4].map(() => round.pick(candidates).id), ['a', 'b', 'c', 'a'])
  t.is(new LeastOpen().pick(candidates).id, 'b')
  t.is(new Set(Array.from({ length: 60 }, (_each, index) => new Uniform(seeded(index)).pick(candidates).id)).size, 3)
})

test('affinity remembers the replica of a session, and of the longest known prefix', t => {
  const affinity = new Affinity()
  const prompt = 'x'.repeat(1000)
  affinity.served('a', 's', prefixes(prompt))
  affinity.served('b', undefined, prefixes(prompt.slice(0, 600)))
  t.is(affinity.session('s'), 'a')
  t.deepEqual([...affinity.prefix(prefixes(`${prompt}y`))], ['a'])
  t.deepEqual([...affinity.prefix(prefixes(`${prompt.slice(0, 600)}${'y'.repeat(600)}`))], ['b', 'a'])
  t.deepEqual([...affinity.prefix(prefixes('short'))], [])
})

test('affinity forgets the longest unused first', t => {
  const affinity = new Affinity(2)
  for (const session of ['a', 'b', 'a', 'c']) affinity.served(`r-${session}`, session, [])
  t.deepEqual(['a', 'b', 'c'].map(each => affinity.session(each)), ['r-a', undefined, 'r-c'])
})

test('retries are kept to a share of the traffic', t => {
  const clock = new ManualClock()
  const budget = new Budget(clock, { share: 0.1, floor: 0, most: 5 })
  t.false(budget.withdraw())
  for (let index = 0; index < 25; index++) budget.deposit()
  t.deepEqual([1, 2, 3].map(() => budget.withdraw()), [true, true, false])
  for (let index = 0; index < 1000; index++) budget.deposit()
  t.is(Array.from({ length: 20 }, () => budget.withdraw()).filter(Boolean).length, 5)
})
