/**
 * A gateway of a simulated fleet, reduced to the parts that enforce limits. It runs the real `Peers`, `UpstreamLimits`,
 * `Availability` and `Queue` over a simulated network.
 */
import { type Clock, type Random } from '@eiderwind/clock'
import { InFlight, Rests } from '@eiderwind/detect'
import { Availability, Queue } from '@eiderwind/dispatch'
import { type Log } from '@eiderwind/log'
import { Peers, type Heartbeat, type PeerAddress } from '@eiderwind/peers'
import { Roster, type Upstream } from '@eiderwind/roster'
import { type Service } from '@eiderwind/traffic'
import { UpstreamLimits, type ColdBound } from '../src/upstreamlimits.js'
import { ModelDatagrams, type Network } from './network.js'
import { queuedRequest } from './queuedrequest.js'

/** In ms. */
export const heartbeatInterval = 250
/** In ms. */
const heartbeatTimeout = 1000

/** Dependencies of `Member`. */
export interface MemberOptions {
  readonly clock: Clock
  readonly random: Random
  readonly network: Network
  readonly id: string
  /** Called for each datagram about tokens that the gateway receives. */
  readonly onTokenDatagram?: () => void
  /** The service of all upstreams. Needed if upstreams may be cold. */
  readonly service?: Service
  readonly coldBound?: ColdBound
}

/** One simulated gateway. */
export class Member {
  readonly roster: Roster
  readonly peers: Peers
  readonly upstreamLimits: UpstreamLimits
  readonly #clock: Clock
  readonly #availability: Availability
  readonly #queue: Queue

  constructor ({ clock, random, network, id, onTokenDatagram = () => {}, service, coldBound }: MemberOptions) {
    const address = addressOf(id)
    this.#clock = clock
    this.roster = new Roster(clock)
    this.#queue = new Queue(clock)
    this.peers = new Peers({
      clock,
      id,
      address,
      datagrams: new ModelDatagrams(network, address),
      heartbeat: (): Heartbeat => ({ id, revision: 1, canPlan: false, inFlight: {}, suspects: [], offeredByModel: {}, served: true, loads: {}, ...this.upstreamLimits.heartbeatFields }),
      received: each => this.upstreamLimits.receiveHeartbeat(each),
      receivedOther: (datagram, from) => {
        onTokenDatagram()
        this.upstreamLimits.receive(datagram, from)
      },
      interval: heartbeatInterval,
      timeout: heartbeatTimeout
    })
    const log = { write: () => {} } as unknown as Log
    this.upstreamLimits = new UpstreamLimits({ clock, log, id, roster: this.roster, peers: this.peers, inFlight: new InFlight(clock, () => {}), queue: this.#queue, random, coldBound, service: () => service })
    this.#availability = new Availability({ clock, rests: new Rests({ clock, begun: () => {}, ended: () => {} }), tokens: this.upstreamLimits.tokens })
  }

  /**
   * Handles a request that any of the given upstreams may serve. The first one with room is chosen.
   * @param maxWait how long the request waits before it is refused, in ms
   * @param sent called with the upstream when the request is sent, but not if it is refused
   */
  request (upstreams: readonly string[], maxWait: number, sent: (upstream: string) => void): void {
    const claim = this.#availability.claim(1, this.#clock.now() + maxWait)
    const find = (): string | undefined => {
      const found = upstreams.find(each => this.#availability.isAvailable(each))
      if (found === undefined) this.#availability.requestToken(claim, upstreams.map(id => ({ id })), new Set())
      else this.#availability.take(found, claim)
      return found
    }
    this.#queue.wait(queuedRequest(this.#clock.now(), this.#clock.now() + maxWait), find).then(found => {
      this.#availability.release(claim)
      if (found !== undefined) sent(found)
    }, error => { throw error })
  }
}

export function addressOf (id: string): string {
  return `${id}:1`
}

export function addressesOf (ids: readonly string[]): PeerAddress[] {
  return ids.map(id => ({ id, address: addressOf(id) }))
}

/** The record of an upstream in the roster. */
export function upstreamRecord (id: string, cold = 0): Upstream {
  return { id, service: 's', address: `${id}:1`, dataCentre: 'dc', leaving: false, loaded: [], staged: [], ...cold > 0 ? { cold } : {} }
}

/** The maximum number of the given times that lie within `window` ms of each other. The times are sorted. */
export function maxInWindow (times: readonly number[], window: number): number {
  let first = 0
  return times.reduce((greatest, time, index) => {
    while (times[first] <= time - window) first++
    return Math.max(greatest, index - first + 1)
  }, 0)
}
