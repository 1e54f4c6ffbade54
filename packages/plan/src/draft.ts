/**
 * The placement of one domain while it is being planned. Owns the replicas, the last generation and the steps so far.
 * It never offers a node that a replica of the domain uses.
 */
import { type ModelService, type Placement, type Replica } from '@eiderwind/schema'
import { emptyPlacement, type Action, type Facts, type NodeFact, type PlanStep, type Plan } from './facts.js'

/**
 * A placement that a planner changes step by step. A step that forms or changes a replica gives it a new generation, a
 * number that rises with each such step in the domain. The generation is the fencing token of the orders to engines.
 */
export class Draft {
  readonly domain: string
  readonly #before: Placement
  readonly #facts: ReadonlyMap<string, NodeFact>
  readonly #steps: PlanStep[] = []
  #replicas: readonly Replica[]
  #generation: number

  constructor (domain: string, facts: Facts) {
    this.domain = domain
    this.#before = facts.placements.find(each => each.domain === domain) ?? emptyPlacement(domain)
    this.#facts = new Map(facts.nodes.filter(({ node }) => node.domain === domain).map(fact => [fact.node.id, fact]))
    this.#replicas = this.#before.replicas
    this.#generation = this.#before.generation
  }

  get replicas (): readonly Replica[] {
    return this.#replicas
  }

  /** The facts about a node of this domain. */
  fact (id: string): NodeFact | undefined {
    return this.#facts.get(id)
  }

  /** Live nodes with an engine that belong to no replica, sorted by id. */
  get free (): NodeFact[] {
    const used = new Set(this.#replicas.flatMap(replica => replica.members))
    const free = [...this.#facts.values()].filter(({ node, health }) => health === 'live' && node.service === undefined && !used.has(node.id))
    return free.sort((a, b) => a.node.id < b.node.id ? -1 : 1)
  }

  /** Members that are lost, or that the platform no longer lists. */
  lost (replica: Replica): string[] {
    return replica.members.filter(id => (this.fact(id)?.health ?? 'lost') === 'lost')
  }

  /** Members that have been ordered to leave. */
  leaving (replica: Replica): string[] {
    return replica.members.filter(id => this.fact(id)?.health === 'leaving')
  }

  /** Adds a replica. */
  form (service: ModelService, members: readonly string[]): void {
    const generation = ++this.#generation
    const id = `${service.name}.${this.domain}.${generation}`
    const { name, version, adapters } = service
    const replica: Replica = { id, service: name, generation, members: [...members], version, adapters, state: 'serving' }
    this.#replicas = [...this.#replicas, replica]
    this.#recordStep('form', replica)
  }

  /** Changes the members or the version of a replica, under a new generation. */
  change (action: Action, replica: Replica, difference: Partial<Pick<Replica, 'members' | 'version' | 'adapters'>>): void {
    const changed = { ...replica, ...difference, generation: ++this.#generation }
    this.#replicas = this.#replicas.map(each => each.id === replica.id ? changed : each)
    this.#recordStep(action, changed)
  }

  /** Removes a replica. Its head finishes its requests before it releases the members. */
  remove (action: Action, replica: Replica): void {
    this.#replicas = this.#replicas.filter(each => each.id !== replica.id)
    this.#recordStep(action, replica)
  }

  /** The plan: the changed placement with its steps, or the placement as it was if there are no steps. */
  finish (): Plan {
    if (this.#steps.length === 0) return { placement: this.#before, steps: [] }
    const placement = { domain: this.domain, revision: this.#before.revision + 1, generation: this.#generation, replicas: [...this.#replicas] }
    return { placement, steps: this.#steps }
  }

  #recordStep (action: Action, replica: Replica): void {
    this.#steps.push({ action, replica: replica.id, members: replica.members })
  }
}
