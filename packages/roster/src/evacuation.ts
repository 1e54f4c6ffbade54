/**
 * Which upstreams take no new requests since the operator has evacuated data centres. Pure; relies on what the upstreams list of themselves.
 * Whoever sends a request asks the roster, which asks this.
 */
import { type Upstream } from './upstream.js'

/**
 * Ids of the upstreams in data centres that are evacuated, and of the heads of replicas that have a member there: a request to such a head has work done by its
 * members.
 */
export function evacuatedUpstreams (upstreams: readonly Upstream[], dataCentres: ReadonlySet<string>): Set<string> {
  const within = dataCentres.size === 0 ? [] : upstreams.filter(each => dataCentres.has(each.dataCentre))
  const replicas = new Set(within.flatMap(({ membership }) => membership === undefined ? [] : [replicaKey(membership)]))
  const heads = replicas.size === 0 ? [] : upstreams.filter(({ membership }) => membership?.rank === 0 && replicas.has(replicaKey(membership)))
  return new Set([...within, ...heads].map(each => each.id))
}

function replicaKey ({ replica, epoch }: NonNullable<Upstream['membership']>): string {
  return `${replica} ${epoch}`
}
