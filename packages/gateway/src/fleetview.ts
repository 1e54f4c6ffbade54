/**
 * This gateway's view of the fleet by the heartbeats of the others: how many gateways there are, which of them lead a
 * service, and which could watch the store. Owns the ranking of possible watchers. The view is cached until the next
 * heartbeat, since it is read many times in between.
 */
import { Ranking } from '@eiderwind/hash'
import { type Heartbeat, type Peers } from '@eiderwind/peers'

/** A gateway that announces that it leads a service. */
export interface KnownLeader {
  readonly id: string
  readonly service: string
  readonly term: number
  /** Whether it may plan now. */
  readonly able: boolean
}

/** The view at one moment. */
export interface FleetState {
  /** Ids of the gateways that could watch the store, in the order of their ranking. */
  readonly watchCandidates: readonly string[]
  readonly leaders: readonly KnownLeader[]
  /** Number of gateways whose heartbeats arrived recently, this one included. */
  readonly fleet: number
}

/**
 * How long a gateway still counts towards the size of the fleet after its last heartbeat, in ms. Without it, a fleet
 * would count as small while many of its gateways restart, or after a pause of this process.
 */
const fleetRetention = 10_000

/**
 * The key under which gateways are ranked for polling. It must not change: gateways of all builds must compute the same
 * ranking.
 */
const pollingKey = 'confirmers'

/** One gateway's view of the fleet. */
export class FleetView {
  readonly #peers: Peers
  readonly #ranking = new Ranking(pollingKey)
  #last: { readonly of: readonly Heartbeat[], readonly self: string | undefined, readonly view: FleetState } | undefined

  constructor (peers: Peers) {
    this.#peers = peers
  }

  /** The current view. @param self id of this gateway if it could watch the store */
  current (self: string | undefined): FleetState {
    const { live } = this.#peers
    if (this.#last?.of !== live || this.#last.self !== self) this.#last = { of: live, self, view: this.#compute(live, self) }
    return this.#last.view
  }

  /** The ids in the order of their ranking. */
  rank (ids: readonly string[]): string[] {
    return this.#ranking.order(ids)
  }

  #compute (live: readonly Heartbeat[], self: string | undefined): FleetState {
    const others = this.#peers.watchCandidates
    return {
      watchCandidates: this.rank(self === undefined ? others : [self, ...others]),
      leaders: live.flatMap(leadersOf),
      fleet: this.#peers.seenWithin(fleetRetention).length + 1
    }
  }
}

/** The services that a gateway announces to lead. */
function leadersOf ({ id, canPlan: able, terms = {} }: Heartbeat): KnownLeader[] {
  return Object.entries(terms).map(([service, term]) => ({ id, service, term, able }))
}
