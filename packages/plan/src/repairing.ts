/**
 * The planner: computes the next placement of one fabric domain from facts. It is a pure function without a clock, so
 * the same facts give the same plan at every entry. docs/design/planner.md has the rule, its measurements and the
 * alternatives that were dropped.
 */
import { weight } from '@eiderwind/hash'
import { type ModelService, type Replica } from '@eiderwind/schema'
import { Draft } from './draft.js'
import { type Facts, type NodeFact, type Plan, type PlannerOptions } from './facts.js'
import { surplusReplicas, replicasToAdd } from './quota.js'

/**
 * Computes the placement of one domain from facts. It replaces lost nodes by spares and keeps the other members, whose
 * weights stay loaded. Without spares it dissolves one broken replica to repair others. When a version changes, it
 * changes one serving replica of a service at a time.
 */
export class RepairingPlanner {
  readonly #options: PlannerOptions

  constructor (options: PlannerOptions) {
    this.#options = options
  }

  /** The next placement of a domain; the present one if nothing is to be done. */
  plan (domain: string, facts: Facts): Plan {
    const draft = new Draft(domain, facts)
    this.#retire(draft, facts)
    this.#repair(draft)
    this.#replaceLeaving(draft, facts)
    this.#upgrade(draft, facts)
    this.#form(draft, facts)
    return draft.finish()
  }

  #retire (draft: Draft, facts: Facts): void {
    const names = new Set(draft.replicas.map(each => each.service))
    for (const name of names) {
      const surplus = new Set(surplusReplicas(facts.services.find(each => each.name === name), name, facts))
      for (const replica of draft.replicas) if (surplus.has(replica.id)) draft.remove('retire', replica)
    }
  }

  /**
   * Repairs broken replicas, those with the fewest lost members first. A spare is used at once. Waiting for the lost
   * node is never faster while there is a spare, since a node that returns has to load its weights as well. If
   * there are too few spares, the broken replica with the most lost members is dissolved to repair another, once these
   * members have been lost for longer than a restart takes.
   */
  #repair (draft: Draft): void {
    const broken = draft.replicas.filter(replica => draft.lost(replica).length > 0)
    broken.sort((a, b) => draft.lost(a).length - draft.lost(b).length || (a.id < b.id ? -1 : 1))
    while (broken.length > 0) {
      const replica = broken.shift() as Replica
      const lost = draft.lost(replica)
      const donor = broken.at(-1)
      if (draft.free.length < lost.length && donor !== undefined && this.#isGoneForLong(draft, donor)) {
        draft.remove('dissolve', donor)
        broken.pop()
      }
      this.#swap(draft, 'repair', replica, lost)
    }
  }

  /**
   * Whether a replica's lost nodes have been lost for longer than a restart takes, and will probably not return soon.
   */
  #isGoneForLong (draft: Draft, replica: Replica): boolean {
    return draft.lost(replica).every(id => (draft.fact(id)?.lostFor ?? Infinity) > this.#options.restartTime)
  }

  /** Replaces the leaving members of one replica per plan, if the other replicas of the service serve. */
  #replaceLeaving (draft: Draft, facts: Facts): void {
    for (const replica of draft.replicas) {
      const leaving = draft.leaving(replica)
      if (leaving.length === 0 || draft.lost(replica).length > 0) continue
      if (draft.free.length < leaving.length || !othersServe(replica, facts)) continue
      this.#swap(draft, 'repair', replica, leaving)
      return
    }
  }

  #upgrade (draft: Draft, facts: Facts): void {
    for (const service of facts.services) {
      const candidate = draft.replicas.find(replica => replica.service === service.name && isOutdated(replica, service))
      if (candidate === undefined || !othersServe(candidate, facts) || !isFirstOutdated(candidate, service, facts)) continue
      draft.change('upgrade', candidate, { version: service.version, adapters: service.adapters })
    }
  }

  #form (draft: Draft, facts: Facts): void {
    for (const service of facts.services) {
      const count = replicasToAdd(service, draft.domain, facts)
      for (let index = 0; index < count; index++) {
        const members = this.#choose(draft.free, service.members, service.version, `${service.name}.${index}`)
        if (members.length < service.members) break
        draft.form(service, members)
      }
    }
  }

  #swap (draft: Draft, action: 'repair', replica: Replica, replaced: readonly string[]): void {
    const spares = this.#choose(draft.free, replaced.length, replica.version, replica.id)
    if (spares.length < replaced.length) return
    const remaining = replica.members.filter(id => !replaced.includes(id))
    draft.change(action, replica, { members: [...remaining, ...spares] })
  }

  /**
   * Chooses `count` nodes. Nodes that have loaded the version come first. Among equal nodes, rendezvous hashing
   * decides, so that planners choose alike.
   */
  #choose (free: readonly NodeFact[], count: number, version: string, key: string): string[] {
    const order = [...free].sort((a, b) => {
      const loaded = Number(b.loaded === version) - Number(a.loaded === version)
      return loaded || weight(key, b.node.id) - weight(key, a.node.id)
    })
    return order.slice(0, count).map(({ node }) => node.id)
  }
}

function isOutdated (replica: Replica, service: ModelService): boolean {
  return replica.version !== service.version || replica.adapters.join() !== service.adapters.join()
}

/** Whether every other replica of the service serves, so that this one may stop for a while. */
function othersServe (replica: Replica, facts: Facts): boolean {
  const others = facts.placements.flatMap(({ replicas }) => replicas.filter(each => each.service === replica.service && each.id !== replica.id))
  return others.every(each => facts.serving.has(each.id))
}

/** Whether the replica is the first outdated one of its service in all domains, so that planners take turns. */
function isFirstOutdated (replica: Replica, service: ModelService, facts: Facts): boolean {
  const allOutdated = facts.placements.flatMap(({ replicas }) => replicas.filter(each => each.service === service.name && isOutdated(each, service)))
  return allOutdated.every(each => each.id >= replica.id)
}
