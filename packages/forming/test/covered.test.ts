/** Targets where a part of the fleet is evacuated: a model that was served there alone gets room in what is left. */
import test from 'ava'
import { type Model } from '@eiderwind/traffic'
import { covered, type Counts, type DomainSize } from '../src/targets.js'

const models: readonly Model[] = [
  { name: 'large', size: 4, share: 0.5, pace: 1, load: 1600, warm: 400 },
  { name: 'small', size: 2, share: 0.5, pace: 0.6, load: 1200, warm: 300 }
]

function domain (key: string, nodes: number, targets: Counts, appearing = false): DomainSize {
  return { key, nodes, targets, appearing }
}

function targetsOf (domains: readonly DomainSize[]): Record<string, Counts> {
  return Object.fromEntries(covered(models, domains, new Map(domains.map(({ key, targets }) => [key, targets])), new Map()))
}

const cases: ReadonlyArray<{ name: string, domains: readonly DomainSize[], expected: Record<string, Counts> }> = [
  { name: 'nothing changes where every model has a replica', domains: [domain('a', 8, { large: 1, small: 1 }), domain('b', 8, { small: 4 })], expected: { a: { large: 1, small: 1 }, b: { small: 4 } } },
  { name: 'free engines are taken before those of another model', domains: [domain('a', 8, { small: 4 }), domain('b', 8, { small: 2 })], expected: { a: { small: 4 }, b: { small: 2, large: 1 } } },
  { name: 'as many replicas of the other model give way as it needs', domains: [domain('a', 9, { small: 4 })], expected: { a: { small: 2, large: 1 } } },
  { name: 'a larger one gives way to a smaller one', domains: [domain('a', 9, { large: 2 })], expected: { a: { large: 1, small: 1 } } },
  { name: 'no model gives its last replica', domains: [domain('a', 4, { small: 1 }), domain('b', 5, {})], expected: { a: { small: 1 }, b: { large: 1 } } },
  { name: 'and where there is no other way, none is planned', domains: [domain('a', 5, { small: 1 })], expected: { a: { small: 1 } } },
  { name: 'nor in a domain whose engines are still appearing', domains: [domain('a', 8, { small: 4 }, true)], expected: { a: { small: 4 } } },
  { name: 'nor where no domain is left', domains: [], expected: {} }
]

for (const { name, domains, expected } of cases) {
  test(name, t => t.deepEqual(targetsOf(domains), expected))
}
