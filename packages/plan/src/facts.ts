/**
 * What a plan is made from and what it consists of: nodes with their health, services and placements in; the placement of one
 * domain and the steps to it out. Pure values, without state.
 */
import { type ModelService, type Node, type Placement } from '@eiderwind/schema'

/** What is believed of a node: `lost` after it was not heard of for too long, `unheard` before it was ever heard of. */
export type Health = 'live' | 'leaving' | 'lost' | 'unheard'

/** A node with what is believed of it. */
export interface NodeFact {
  readonly node: Node
  readonly health: Health
  /** For how long it has been lost, in ms. */
  readonly lostFor: number
  /** The version that its engine has loaded, where that is known. */
  readonly loaded: string | undefined
}

/** Everything that a plan is made from. */
export interface Facts {
  readonly services: readonly ModelService[]
  readonly nodes: readonly NodeFact[]
  /** The placements of every known domain. */
  readonly placements: readonly Placement[]
  /** Ids of the replicas that serve now. */
  readonly serving: ReadonlySet<string>
}

/** What a planner goes by. */
export interface PlannerOptions {
  /** How long a node that restarts is away, in ms, as a rule. */
  readonly restart: number
}

/** Why a placement was changed. */
export type Action = 'form' | 'repair' | 'dissolve' | 'retire' | 'upgrade'

/** One step of a plan. */
export interface Order {
  readonly action: Action
  readonly replica: string
  readonly members: readonly string[]
}

/** A new placement for one domain and the steps that lead to it. No steps: the placement is the old one. */
export interface Plan {
  readonly placement: Placement
  readonly orders: readonly Order[]
}

/** The placement of a domain that has none yet. */
export function emptyPlacement (domain: string): Placement {
  return { domain, revision: 0, generation: 0, replicas: [] }
}
