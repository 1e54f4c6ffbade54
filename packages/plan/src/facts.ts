/**
 * The input and the output of the planner. The input is the nodes with their health, the services and the placements.
 * The output is the placement of one domain and the steps that lead to it. Plain values without state.
 */
import { type ModelService, type Node, type Placement } from '@eiderwind/schema'

/** Health of a node: `lost` if no report of it arrived for too long, `unheard` if no report of it ever arrived. */
export type Health = 'live' | 'leaving' | 'lost' | 'unheard'

/** A node with its health. */
export interface NodeFact {
  readonly node: Node
  readonly health: Health
  /** How long the node has been lost, in ms. */
  readonly lostFor: number
  /** The version that its engine has loaded; undefined if not known. */
  readonly loaded: string | undefined
}

/** The input of a plan. */
export interface Facts {
  readonly services: readonly ModelService[]
  readonly nodes: readonly NodeFact[]
  /** The placements of every known domain. */
  readonly placements: readonly Placement[]
  /** Ids of the replicas that serve now. */
  readonly serving: ReadonlySet<string>
}

/** Options of a planner. */
export interface PlannerOptions {
  /** How long a restart of a node usually takes, in ms. */
  readonly restartTime: number
}

/**
 * The kind of a step. `form` adds a replica. `repair` replaces members of a replica. `dissolve` removes a broken
 * replica so that its nodes can repair another. `retire` removes a replica above the wanted number. `upgrade` changes
 * the version or the adapters of a replica.
 */
export type Action = 'form' | 'repair' | 'dissolve' | 'retire' | 'upgrade'

/** One step of a plan. */
export interface PlanStep {
  readonly action: Action
  readonly replica: string
  readonly members: readonly string[]
}

/** A placement for one domain and the steps that lead to it. Without steps, the placement is the old one. */
export interface Plan {
  readonly placement: Placement
  readonly steps: readonly PlanStep[]
}

/** The placement of a domain that has no stored placement yet. */
export function emptyPlacement (domain: string): Placement {
  return { domain, revision: 0, generation: 0, replicas: [] }
}
