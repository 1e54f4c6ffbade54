/**
 * Determines which upstreams take no new requests because the operator has evacuated data centres. Pure; relies on the
 * records of the upstreams. The roster calls it; senders of requests ask the roster.
 */
import { type Upstream } from './upstream.js'

/**
 * Ids of the upstreams in evacuated data centres, and of the heads of replicas with a member there. Such a head would
 * have the evacuated members work on its requests.
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
