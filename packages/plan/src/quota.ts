/**
 * How many replicas of a service a domain should gain or lose. Pure functions of the facts: entries that know the same facts
 * decide alike without talking.
 */
import { weight } from '@eiderwind/hash'
import { type ModelService } from '@eiderwind/schema'
import { type Facts } from './facts.js'

/** How many replicas of a service are placed in all domains. */
function placed (service: string, facts: Facts): number {
  return facts.placements.reduce((sum, { replicas }) => sum + replicas.filter(each => each.service === service).length, 0)
}

/**
 * How many replicas of `service` the domain should add. The missing ones go, one by one, to the domain with most
 * free nodes; entries with the same facts choose alike. Entries whose facts differ for a moment may place too many
 * between them, which `excess` mends.
 */
export function wanting (service: ModelService, domain: string, facts: Facts): number {
  const missing = service.replicas - placed(service.name, facts)
  if (missing <= 0) return 0
  const free = freeNodes(facts)
  let here = 0
  for (let index = 0; index < missing; index++) {
    const best = roomiest(service, free)
    if (best === undefined) return here
    free.set(best, (free.get(best) as number) - service.members)
    if (best === domain) here++
  }
  return here
}

/** The ids of the replicas of a service beyond the wanted number, chosen by rendezvous hashing, so that entries choose alike. */
export function excess (service: ModelService | undefined, name: string, facts: Facts): string[] {
  const replicas = facts.placements.flatMap(placement => placement.replicas.filter(each => each.service === name))
  const most = service?.replicas ?? 0
  if (replicas.length <= most) return []
  const order = replicas.map(each => each.id).sort((a, b) => weight(name, b) - weight(name, a))
  return order.slice(0, replicas.length - most)
}

/** Free live nodes with an engine, by domain. */
function freeNodes (facts: Facts): Map<string, number> {
  const used = new Set(facts.placements.flatMap(({ replicas }) => replicas.flatMap(each => each.members)))
  const free = new Map<string, number>()
  for (const { node, health } of facts.nodes) {
    if (health !== 'live' || node.service !== undefined || used.has(node.id)) continue
    free.set(node.domain, (free.get(node.domain) ?? 0) + 1)
  }
  return free
}

function roomiest (service: ModelService, free: ReadonlyMap<string, number>): string | undefined {
  let best: string | undefined
  for (const [domain, count] of free) {
    if (count < service.members) continue
    if (best === undefined) best = domain
    const most = free.get(best) as number
    if (count > most || (count === most && weight(service.name, domain) > weight(service.name, best))) best = domain
  }
  return best
}
