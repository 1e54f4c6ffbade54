/** Input and output of the planner: the facts of one domain, and the step that follows from them. */
import { type Upstream } from '@eiderwind/roster'
import { type Engine } from '@eiderwind/traffic'
import { type Order } from './orders.js'
import { type Placement } from './placement.js'
import { type Survey } from './survey.js'
import { type Counts } from './targets.js'

/** What holds for all domains of a service together. */
export interface FleetFacts {
  /** Intact replicas of each model: those with all their members, whether they serve already or not. */
  readonly intact: Counts
  /** How much each model needs one more replica: its work for each intact one. */
  readonly needs: Readonly<Record<string, number>>
  /** Whether some engines are in data centres that are evacuated, so that the others take over their models. */
  readonly evacuating: boolean
  /** Whether every domain that is not evacuated has as many open replicas as its targets ask for. */
  readonly targetsMet: boolean
  /** Whether no caller was ever served, so that loads slow no request and the weight store's rate does not apply. */
  readonly beforeTraffic: boolean
  /** Whether engines are still appearing at the first start, so that the size of the domains is not known yet. */
  readonly arriving: boolean
  /** Whether spares load weights before a replica needs them. */
  readonly warmSpares: boolean
}

/** What is known of one domain at one moment. */
export interface DomainFacts extends FleetFacts {
  readonly engine: Engine
  /** The desired state, as stored. */
  readonly placement: Placement
  /** The actual state: the engines of the domain that are listed, then those that are kept without. Their order decides between engines that are equal otherwise. */
  readonly upstreams: readonly Upstream[]
  /** Ids of engines that did not answer their last probe, listed or not. */
  readonly unreachable: ReadonlySet<string>
  /** Ids of engines that are not listed and kept: they may be members of a replica, and lead none. */
  readonly unlisted: ReadonlySet<string>
  /** Ids of engines whose entries are missing and that may have ended: they keep their place and get no new one. */
  readonly lapsed: ReadonlySet<string>
  /** Ids of engines in data centres that are evacuated: those in replicas keep their place, and none gets a new one. */
  readonly evacuated: ReadonlySet<string>
  /** Ids of heads that are certain not to serve any more. */
  readonly dead: ReadonlySet<string>
  /** Names of replicas that this process planned and whose heads have not joined yet. */
  readonly unjoined: ReadonlySet<string>
  /** Replicas of each model that the domain should have now. */
  readonly targets: Counts
}

/** What to do next in a domain: first store the placement if it changed, then give the orders. */
export interface Step {
  readonly placement: Placement
  readonly orders: readonly Order[]
  /** Whether nothing is left to be done: the placement stays, and no order is given, awaited or held back. */
  readonly quiet: boolean
  /** The decisions, in words for the log. */
  readonly notes: readonly string[]
  /** What the engines did before the step. */
  readonly survey: Survey
}
