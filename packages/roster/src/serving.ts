/** Whether a replica is still served by the head that a request was sent to. Pure. */
import { type Membership, type Upstream } from './upstream.js'

/** The states of a head that serves requests: new ones too, or only those that it has. */
const servingStates: ReadonlySet<Membership['state']> = new Set(['open', 'closing'])

/**
 * Whether a head still serves the replica that it served before. A plain upstream has no replica that could stop.
 * @param before its record when the request was sent
 * @param now its record or its own report now; undefined if it is no longer listed
 */
export function servesReplica ({ membership: before }: Upstream, now: Pick<Upstream, 'membership'> | undefined): boolean {
  if (before === undefined) return true
  const membership = now?.membership
  return membership !== undefined && membership.replica === before.replica && membership.epoch === before.epoch && servingStates.has(membership.state)
}
