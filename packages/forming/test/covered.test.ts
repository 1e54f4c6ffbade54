/**
 * Targets of a partly evacuated fleet: a model that was served only in the evacuated part gets room in the remaining
 * domains.
 */
import test from 'ava'
import { type Model } from '@eiderwind/traffic'
import { coverModels, type Counts, type DomainSize } from '../src/targets.js'

const models: readonly Model[] = [
  { name: 'large', size: 4, share: 0.5, pace: 1, load: 1600, warm: 400 },
  { name: 'small', size: 2, share: 0.5, pace: 0.6, load: 1200, warm: 300 }
]

function domain (key: string, nodes: number, targets: Counts, appearing = false): DomainSize {
  return { key, nodes, targets, appearing }
}

function targetsOf (domains: readonly DomainSize[]): Record<string, Counts> {
  return Object.fromEntries(coverModels(models, domains, new Map(domains.map(({ key, targets }) => [key, targets])), new Map()))
}

const cases: ReadonlyArray<{ name: string, domains: readonly DomainSize[], expected: Record<string, Counts> }> = [
  { name: 'targets stay unchanged if every model has a replica', domains: [domain('a', 8, { large: 1, small: 1 }), domain('b', 8, { small: 4 })], expected: { a: { large: 1, small: 1 }, b: { small: 4 } } },
  { name: 'a model without a replica takes free engines before engines of another model', domains: [domain('a', 8, { small: 4 }), domain('b', 8, { small: 2 })], expected: { a: { small: 4 }, b: { small: 2, large: 1 } } },
  { name: 'only as many replicas of another model are dropped as the model needs', domains: [domain('a', 9, { small: 4 })], expected: { a: { small: 2, large: 1 } } },
  { name: 'a replica of a larger model is dropped for a smaller model', domains: [domain('a', 9, { large: 2 })], expected: { a: { large: 1, small: 1 } } },
  { name: 'no model gives up its last replica', domains: [domain('a', 4, { small: 1 }), domain('b', 5, {})], expected: { a: { small: 1 }, b: { large: 1 } } },
  { name: 'no replica is planned if another model would have to give up its last one', domains: [domain('a', 5, { small: 1 })], expected: { a: { small: 1 } } },
  { name: 'no replica is planned in a domain whose engines are still appearing', domains: [domain('a', 8, { small: 4 }, true)], expected: { a: { small: 4 } } },
  { name: 'no replica is planned if no domain is left', domains: [], expected: {} }
]

for (const { name, domains, expected } of cases) {
  test(name, t => t.deepEqual(targetsOf(domains), expected))
}

// Guards against: one model with the name of a property that every object has keeps all models from being planned.
test('a model named constructor is planned like any other', t => {
  const odd = models.map(each => each.name === 'large' ? { ...each, name: 'constructor' } : each)
  const targets = new Map([['a', { small: 4 }]])
  t.deepEqual(coverModels(odd, [domain('a', 9, { small: 4 })], targets, new Map()), new Map([['a', { small: 2, constructor: 1 } as unknown as Counts]]))
})
