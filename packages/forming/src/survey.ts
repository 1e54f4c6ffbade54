/**
 * Counts what the engines of a domain do, as a record of its capacity for the log. Pure. If requests find no room, the
 * survey shows whether engines are missing or do not serve, and why.
 */
import { type Upstream } from '@eiderwind/roster'
import { isEmpty } from './engines.js'
import { type PlannedReplica } from './placement.js'
import { type Pool } from './pool.js'

/**
 * What an engine does. `serving`: in an open replica that has all its members. `forming`: in a replica that is not open
 * yet. `broken`: in a replica that lacks a member or gives up its engines. `loading`: loads weights on a planner's
 * order. `empty`: holds no weights. `idle`: holds weights and is in no replica. `unlisted`: answers but is not listed,
 * and does not serve in a replica. `missing`: leaves or does not answer. `evacuated`: its data centre is evacuated;
 * this precedes all others.
 */
export type EngineWork = 'serving' | 'forming' | 'broken' | 'loading' | 'empty' | 'idle' | 'unlisted' | 'missing' | 'evacuated'

/** How many engines of a domain do each kind of work. Kinds without an engine are omitted. */
export type Survey = Readonly<Partial<Record<EngineWork, number>>>

/** Counts what the engines of a domain do now. */
export function surveyOf (pool: Pool): Survey {
  const { placement, snapshot } = pool.draft
  const replicas = new Map(placement.replicas.flatMap(replica => replica.members.map(({ id }) => [id, replica] as const)))
  const counts: Partial<Record<EngineWork, number>> = {}
  for (const upstream of snapshot.facts.upstreams) {
    const work = workOf(upstream, replicas.get(upstream.id), pool)
    counts[work] = (counts[work] ?? 0) + 1
  }
  return counts
}

function workOf (upstream: Upstream, replica: PlannedReplica | undefined, pool: Pool): EngineWork {
  const { snapshot } = pool.draft
  if (snapshot.facts.evacuated.has(upstream.id)) return 'evacuated'
  if (snapshot.isMissing(upstream.id)) return 'missing'
  if (snapshot.isUnlisted(upstream.id) && (replica === undefined || !snapshot.isServing(replica))) return 'unlisted'
  if (replica !== undefined) {
    if (!snapshot.isIntact(replica) || replica.retiring === true) return 'broken'
    return snapshot.headState(replica) === 'open' ? 'serving' : 'forming'
  }
  if (pool.isLoading(upstream)) return 'loading'
  return isEmpty(upstream) ? 'empty' : 'idle'
}
