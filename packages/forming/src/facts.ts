/** Input and output of the planner: the facts of one domain, and the step that is planned from them. */
import { type Upstream } from '@eiderwind/roster'
import { type Engine } from '@eiderwind/traffic'
import { type Order } from './orders.js'
import { type Placement } from './placement.js'
import { type Survey } from './survey.js'
import { type Counts } from './targets.js'

/** The facts that all domains of a service share. */
export interface FleetFacts {
  /**
   * Intact replicas of each model. A replica is intact if all its members are available, whether it serves yet or not.
   */
  readonly intact: Counts
  /** How much each model needs one more replica: its work divided by its intact replicas. */
  readonly needs: Readonly<Record<string, number>>
  /** Whether some engines are in evacuated data centres, so that the other engines take over their models. */
  readonly evacuating: boolean
  /** Whether every domain that is not evacuated has at least as many open replicas as its targets require. */
  readonly targetsMet: boolean
  /** Whether no caller was ever served. Loads then slow no request, and the weight store's rate does not apply. */
  readonly beforeTraffic: boolean
  /** Whether engines are still appearing at the first start, so that the sizes of the domains are not known yet. */
  readonly arriving: boolean
  /** Whether spares load weights before a replica needs them. */
  readonly warmSpares: boolean
  /** Ids of heads that have served their last requests while gateways may still receive the answers. */
  readonly awaited: ReadonlySet<string>
}

/** The facts of one domain at one moment. */
export interface DomainFacts extends FleetFacts {
  readonly engine: Engine
  /** The stored desired state. */
  readonly placement: Placement
  /**
   * The actual state: the listed engines of the domain, then the retained engines that are not listed. Their order
   * breaks ties between engines.
   */
  readonly upstreams: readonly Upstream[]
  /**
   * Ids of engines, listed or not, that count as unreachable: they left their last probes unanswered, or are no longer
   * retained.
   */
  readonly unreachable: ReadonlySet<string>
  /** Ids of engines that certainly cannot go on. Each of them is unreachable too, or has gone. */
  readonly lost: ReadonlySet<string>
  /**
   * Ids of engines that have not answered for a while and may be sound. Nothing that callers wait for may end because
   * of them.
   */
  readonly doubtful: ReadonlySet<string>
  /**
   * Ids of engines that are retained although they are not listed. They may be members of a replica but cannot be its
   * head.
   */
  readonly unlisted: ReadonlySet<string>
  /**
   * Ids of engines that may have ended: their entries lapsed in an outage of the store, or they have not answered since
   * their entries were removed. They stay in their replica and are put into no new one.
   */
  readonly lapsed: ReadonlySet<string>
  /** Ids of engines in evacuated data centres. They stay in their replica and are put into no new one. */
  readonly evacuated: ReadonlySet<string>
  /** Ids of heads that certainly do not serve any more. */
  readonly dead: ReadonlySet<string>
  /** Names of replicas that this process has planned and whose heads have not joined yet. */
  readonly unjoined: ReadonlySet<string>
  /** Replicas of each model that the domain should have now. */
  readonly targets: Counts
}

/** A decision of the planner, as text for the log. */
export interface Decision {
  readonly note: string
  /** The name of the replica that the decision dissolves, if it dissolves one. */
  readonly dissolved?: string
}

/** The next step in a domain: first the placement is stored if it changed, then the orders are sent. */
export interface Step {
  readonly placement: Placement
  readonly orders: readonly Order[]
  /** Whether nothing is left to be done: the placement does not change, and no order is sent, awaited or held back. */
  readonly quiet: boolean
  readonly decisions: readonly Decision[]
  /** What the engines did before the step. */
  readonly survey: Survey
}
