/** Which reports of engines show that an engine is in a replica. */
import test from 'ava'
import { type Upstream } from '@eiderwind/roster'
import { Snapshot } from '../src/snapshot.js'
import { type DomainFacts } from '../src/facts.js'
import { type PlannedReplica } from '../src/placement.js'

const replica: PlannedReplica = { name: 's.d.7', model: 'm', epoch: 7, members: [{ id: 'a', address: 'a:1' }, { id: 'b', address: 'b:1' }] }

function member (id: string, rank: number, epoch = 7): Upstream {
  return { id, service: 's', address: `${id}:1`, dataCentre: 'dc', leaving: false, domain: 'd', loaded: ['m'], staged: ['m'], membership: { replica: replica.name, epoch, rank, state: 'ready' } }
}

function snapshotOf (upstreams: readonly Upstream[]): Snapshot {
  const facts: Partial<DomainFacts> = { upstreams, unreachable: new Set(), lapsed: new Set(), evacuated: new Set(), unlisted: new Set(), placement: { domain: 's.d', targets: {}, replicas: [replica], epoch: 7 } }
  return new Snapshot(facts as DomainFacts)
}

test('an engine counts as in a replica only if it reports the planned epoch and its own rank', t => {
  t.true(snapshotOf([member('a', 0)]).isIn(replica, 'a'))
  t.true(snapshotOf([member('b', 1)]).isIn(replica, 'b'))
  t.false(snapshotOf([member('a', 0, 6)]).isIn(replica, 'a'))
  // The engine of rank 1 reports from an address that belonged to another engine before.
  t.false(snapshotOf([member('a', 1)]).isIn(replica, 'a'))
  t.false(snapshotOf([member('a', 5)]).isIn(replica, 'a'))
})
