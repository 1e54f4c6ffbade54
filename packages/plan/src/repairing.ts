/**
 * The planner: turns facts into the next placement of one fabric domain. Pure, without a clock; the same facts give the same
 * plan at every entry. docs/design/planner.md has the rule, its measurements and what was tried and dropped.
 */
import { weight } from '@eiderwind/hash'
import { type ModelService, type Replica } from '@eiderwind/schema'
import { Draft } from './draft.js'
import { type Facts, type NodeFact, type Plan, type PlannerOptions } from './facts.js'
import { excess, wanting } from './quota.js'

/**
 * Turns facts into the placement of one domain. It swaps lost nodes for spares and keeps the other members, whose weights stay loaded; it
 * takes apart one broken replica to mend others when there are no spares; it changes one serving replica of a
 * service at a time when a version changes.
 */
export class Repairing {
  readonly #options: PlannerOptions

  constructor (options: PlannerOptions) {
    this.#options = options
  }

  /** The next placement of a domain; the present one where there is nothing to do. */
  plan (domain: string, facts: Facts): Plan {
    const draft = new Draft(domain, facts)
    this.#retire(draft, facts)
    this.#repair(draft)
    this.#replace(draft, facts)
    this.#upgrade(draft, facts)
    this.#form(draft, facts)
    return draft.finish()
  }

  #retire (draft: Draft, facts: Facts): void {
    const names = new Set(draft.replicas.map(each => each.service))
    for (const name of names) {
      const surplus = new Set(excess(facts.services.find(each => each.name === name), name, facts))
      for (const replica of draft.replicas) if (surplus.has(replica.id)) draft.remove('retire', replica)
    }
  }

  /**
   * Mends broken replicas, those that lack least first. A spare is taken at once: a node that comes back has to load
   * its weights as well, so waiting for it never pays while there is a spare.
   */
  #repair (draft: Draft): void {
    const broken = draft.replicas.filter(replica => draft.lost(replica).length > 0)
    broken.sort((a, b) => draft.lost(a).length - draft.lost(b).length || (a.id < b.id ? -1 : 1))
    while (broken.length > 0) {
      const replica = broken.shift() as Replica
      const lost = draft.lost(replica)
      const donor = broken.at(-1)
      if (draft.free.length < lost.length && donor !== undefined && this.#gone(draft, donor)) {
        draft.remove('dissolve', donor)
        broken.pop()
      }
      this.#swap(draft, 'repair', replica, lost)
    }
  }

  /** Whether a replica's lost nodes have been away for longer than a restart takes, so that they will hardly be back soon. */
  #gone (draft: Draft, replica: Replica): boolean {
    return draft.lost(replica).every(id => (draft.fact(id)?.lostFor ?? Infinity) > this.#options.restart)
  }

  /** Moves one replica a plan off a node that leaves, while the service's other replicas serve. */
  #replace (draft: Draft, facts: Facts): void {
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
      const due = draft.replicas.find(replica => replica.service === service.name && outdated(replica, service))
      if (due === undefined || !othersServe(due, facts) || !firstOutdated(due, service, facts)) continue
      draft.change('upgrade', due, { version: service.version, adapters: service.adapters })
    }
  }

  #form (draft: Draft, facts: Facts): void {
    for (const service of facts.services) {
      const count = wanting(service, draft.domain, facts)
      for (let index = 0; index < count; index++) {
        const members = this.#choose(draft.free, service.members, service.version, `${service.name}.${index}`)
        if (members.length < service.members) break
        draft.form(service, members)
      }
    }
  }

  #swap (draft: Draft, action: 'repair', replica: Replica, gone: readonly string[]): void {
    const spares = this.#choose(draft.free, gone.length, replica.version, replica.id)
    if (spares.length < gone.length) return
    const kept = replica.members.filter(id => !gone.includes(id))
    draft.change(action, replica, { members: [...kept, ...spares] })
  }

  /** Nodes that have the version loaded first, then by rendezvous hashing, so that two planners choose alike. */
  #choose (free: readonly NodeFact[], count: number, version: string, key: string): string[] {
    const order = [...free].sort((a, b) => {
      const loaded = Number(b.loaded === version) - Number(a.loaded === version)
      return loaded || weight(key, b.node.id) - weight(key, a.node.id)
    })
    return order.slice(0, count).map(({ node }) => node.id)
  }
}

function outdated (replica: Replica, service: ModelService): boolean {
  return replica.version !== service.version || replica.adapters.join() !== service.adapters.join()
}

/** Whether every other replica of the service serves, so that this one may stop for a while. */
function othersServe (replica: Replica, facts: Facts): boolean {
  const others = facts.placements.flatMap(({ replicas }) => replicas.filter(each => each.service === replica.service && each.id !== replica.id))
  return others.every(each => facts.serving.has(each.id))
}

/** Whether the replica is the first of those still to be changed in all domains, so that planners take turns. */
function firstOutdated (replica: Replica, service: ModelService, facts: Facts): boolean {
  const waiting = facts.placements.flatMap(({ replicas }) => replicas.filter(each => each.service === service.name && outdated(each, service)))
  return waiting.every(each => each.id >= replica.id)
}
