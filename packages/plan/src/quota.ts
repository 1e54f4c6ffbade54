/**
 * Computes how many replicas of a service a domain should add or remove. Pure functions of the facts: entries with the
 * same facts decide alike without exchanging messages.
 */
import { weight } from '@eiderwind/hash'
import { type ModelService } from '@eiderwind/schema'
import { type Facts } from './facts.js'

/** Number of replicas of a service in the placements of all domains. */
function placedReplicas (service: string, facts: Facts): number {
  return facts.placements.reduce((sum, { replicas }) => sum + replicas.filter(each => each.service === service).length, 0)
}

/**
 * Number of replicas of `service` that the domain should add. Each missing replica goes to the domain that has the most
 * free nodes at that point. Entries whose facts differ for a moment may together place too many replicas;
 * `surplusReplicas` then finds the ones to remove.
 */
export function replicasToAdd (service: ModelService, domain: string, facts: Facts): number {
  const missing = service.replicas - placedReplicas(service.name, facts)
  if (missing <= 0) return 0
  const free = freeNodes(facts)
  let here = 0
  for (let index = 0; index < missing; index++) {
    const best = domainWithMostFree(service, free)
    if (best === undefined) return here
    free.set(best, (free.get(best) as number) - service.members)
    if (best === domain) here++
  }
  return here
}

/**
 * Ids of the replicas of a service above the wanted number. Rendezvous hashing makes all entries choose the same ones.
 */
export function surplusReplicas (service: ModelService | undefined, name: string, facts: Facts): string[] {
  const replicas = facts.placements.flatMap(placement => placement.replicas.filter(each => each.service === name))
  const wanted = service?.replicas ?? 0
  if (replicas.length <= wanted) return []
  const order = replicas.map(each => each.id).sort((a, b) => weight(name, b) - weight(name, a))
  return order.slice(0, replicas.length - wanted)
}

/** Number of free live nodes with an engine, by domain. */
function freeNodes (facts: Facts): Map<string, number> {
  const used = new Set(facts.placements.flatMap(({ replicas }) => replicas.flatMap(each => each.members)))
  const free = new Map<string, number>()
  for (const { node, health } of facts.nodes) {
    if (health !== 'live' || node.service !== undefined || used.has(node.id)) continue
    free.set(node.domain, (free.get(node.domain) ?? 0) + 1)
  }
  return free
}

function domainWithMostFree (service: ModelService, free: ReadonlyMap<string, number>): string | undefined {
  let best: string | undefined
  for (const [domain, count] of free) {
    if (count < service.members) continue
    if (best === undefined) best = domain
    const maxFree = free.get(best) as number
    if (count > maxFree || (count === maxFree && weight(service.name, domain) > weight(service.name, best))) best = domain
  }
  return best
}
