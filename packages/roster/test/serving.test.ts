/** Whether a replica that a request was sent to is still served. */
import test from 'ava'
import { servesReplica, type Membership, type Upstream } from '../src/index.js'

function record (membership?: Partial<Membership>): Upstream {
  const base = { id: 'i-1', service: 'chat', address: '10.0.0.1:80', dataCentre: 'dc-1', leaving: false, loaded: [], staged: [] }
  return membership === undefined ? base : { ...base, membership: { replica: 'chat.d0.1', epoch: 1, rank: 0, state: 'open', ...membership } }
}

const rows: ReadonlyArray<readonly [title: string, now: Upstream | undefined, serves: boolean]> = [
  ['an open replica', record({}), true],
  ['a replica that serves the rest of its requests', record({ state: 'closing' }), true],
  ['a closed replica', record({ state: 'ready' }), false],
  ['a broken replica', record({ state: 'broken' }), false],
  ['a later epoch of the replica', record({ epoch: 2 }), false],
  ['another replica', record({ replica: 'chat.d0.2' }), false],
  ['a head that has left its replica', record(), false],
  ['a head that is no longer listed', undefined, false]
]

for (const [title, now, serves] of rows) test(`${title} is ${serves ? '' : 'not '}served`, t => t.is(servesReplica(record({}), now), serves))

test('a plain upstream has no replica that could stop', t => {
  t.true(servesReplica(record(), record()))
  t.true(servesReplica(record(), undefined))
})
