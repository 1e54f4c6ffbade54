/**
 * What one gateway sees of the others in their heartbeats: how many there are, who leads, and who could watch the store. Owns the ranking of
 * those, and keeps what it found until the next heartbeat, since it is asked for many times meanwhile.
 */
import { Ranking } from '@eiderwind/hash'
import { type Heartbeat, type Peers } from '@eiderwind/peers'

/** A gateway that says that it leads a service. */
export interface KnownLeader {
  readonly id: string
  readonly service: string
  readonly term: number
  /** Whether it may plan now. */
  readonly able: boolean
}

/** What is seen at one moment. */
export interface View {
  /** Ids of those that could watch the store, in the order of their ranking. */
  readonly watchCandidates: readonly string[]
  readonly leaders: readonly KnownLeader[]
  /** Gateways that were heard lately, this one included. */
  readonly fleet: number
}

/**
 * How long a gateway that is no longer heard counts for the size of the fleet, in ms: a fleet is not small because many restart, or because
 * this process was paused.
 */
const fleetMemory = 10_000

/** The key under which gateways are ranked for polling. Part of the behaviour: gateways of all builds must rank alike. */
const pollingKey = 'confirmers'

/** The view of one gateway. */
export class FleetView {
  readonly #peers: Peers
  readonly #ranking = new Ranking(pollingKey)
  #last: { readonly of: readonly Heartbeat[], readonly self: string | undefined, readonly view: View } | undefined

  constructor (peers: Peers) {
    this.#peers = peers
  }

  /** What is seen now. @param self id of this gateway where it could watch the store */
  now (self: string | undefined): View {
    const { live } = this.#peers
    if (this.#last?.of !== live || this.#last.self !== self) this.#last = { of: live, self, view: this.#look(live, self) }
    return this.#last.view
  }

  /** Ids in the order of the ranking. */
  order (ids: readonly string[]): string[] {
    return this.#ranking.order(ids)
  }

  #look (live: readonly Heartbeat[], self: string | undefined): View {
    const others = this.#peers.watchCandidates
    return {
      watchCandidates: this.order(self === undefined ? others : [self, ...others]),
      leaders: live.flatMap(leadersOf),
      fleet: this.#peers.heardWithin(fleetMemory).length + 1
    }
  }
}

/** What a gateway says that it leads. */
function leadersOf ({ id, canPlan: able, terms = {} }: Heartbeat): KnownLeader[] {
  return Object.entries(terms).map(([service, term]) => ({ id, service, term, able }))
}
