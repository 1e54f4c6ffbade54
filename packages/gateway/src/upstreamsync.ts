/**
 * Keeps the list of upstreams of this gateway recent, and passes it on to others. Connects the parts that do so: the
 * list itself, the gateways that are followed or asked, the gate for requests after a pause, and the changes for
 * gateways that follow this one. Owns these parts. Relies on the platform to watch the store.
 */
import { type Clock } from '@eiderwind/clock'
import { type Pauses } from '@eiderwind/detect'
import { type Log } from '@eiderwind/log'
import { type PeerAddress } from '@eiderwind/peers'
import { type Outage, type Roster } from '@eiderwind/roster'
import { ChangeLog } from './changelog.js'
import { type GatewayBoard } from './facts.js'
import { encodeUpstreamChanges, noOutageAge, type UpstreamsRequest } from './messages.js'
import { type Platform, type PlatformListener } from './platform.js'
import { SendGate } from './sendgate.js'
import { type UpstreamsCall } from './upstreamcalls.js'
import { UpstreamFeed } from './upstreamfeed.js'
import { UpstreamList } from './upstreamlist.js'
import { UpstreamRefresh } from './upstreamrefresh.js'

/** Dependencies and settings of `UpstreamSync`. Times are in ms. */
export interface UpstreamSyncOptions {
  readonly clock: Clock
  readonly log: Log
  readonly board: GatewayBoard
  readonly roster: Roster
  readonly outage: Outage
  readonly pauses: Pick<Pauses, 'resumedAt'>
  readonly platform: Pick<Platform, 'setFollowing'>
  /** Identifies this incarnation of the process. */
  readonly incarnation: string
  /** The gateways to follow, the best first; empty if this gateway should watch the store itself. */
  readonly sources: () => readonly PeerAddress[]
  /** The live gateways, the best to ask first. */
  readonly peers: () => readonly PeerAddress[]
  /** Asks another gateway. */
  readonly call: UpstreamsCall
  /** The settings of the same names in `GatewaySettings`. */
  readonly maxListAge: number
  readonly maxAskAge: number
  readonly maxSendAge: number
  readonly maxHold: number
}

/**
 * How long a follower's request waits here for a change of the upstreams: a share of the age that followers accept, so
 * that they get several answers within that time, and at most `maxChangeWait` ms.
 */
const changeWaitShare = 0.2
const maxChangeWait = 1000

/** The part of a platform's listener that takes the list of upstreams. */
export type UpstreamListener = Pick<PlatformListener, 'upstreams' | 'upstreamChanges' | 'upstreamsComplete' | 'isSuperseded' | 'upstreamsRevision'>

/** Keeps the list of upstreams recent. */
export class UpstreamSync {
  readonly list: UpstreamList
  readonly gate: SendGate
  readonly #options: UpstreamSyncOptions
  readonly #feed: UpstreamFeed
  readonly #refresh: UpstreamRefresh
  readonly #changes: ChangeLog

  constructor (options: UpstreamSyncOptions) {
    const { clock, log, board, roster, outage, pauses, platform, incarnation, sources, peers, call, maxListAge, maxAskAge, maxSendAge, maxHold } = options
    this.#options = options
    this.list = new UpstreamList({ clock, log, board, roster, outage, maxAge: maxAskAge })
    this.#feed = new UpstreamFeed({
      clock,
      board,
      upstreamList: this.list,
      platform,
      call,
      sources,
      maxListAge,
      failed: error => log.write('controller-failed', { controller: 'upstreams', cause: String((error as Error).stack) })
    })
    this.#refresh = new UpstreamRefresh({ clock, board, upstreamList: this.list, peers, call, maxAge: maxAskAge })
    this.gate = new SendGate({ clock, board, pauses, upstreamList: this.list, maxSendAge, maxHold, refresh: () => this.#refresh.check() })
    this.#changes = new ChangeLog({ clock, board, roster, incarnation, maxWait: Math.min(maxChangeWait, changeWaitShare * maxListAge) })
  }

  start (): void {
    this.#feed.start()
    this.#refresh.start()
  }

  stop (): void {
    this.#feed.stop()
    this.#refresh.stop()
  }

  /** Takes what this gateway's own watch of the store delivers. */
  get listener (): UpstreamListener {
    return {
      upstreams: (all, upTo) => this.list.replace(all, upTo),
      upstreamChanges: changes => this.list.apply(changes),
      upstreamsComplete: upTo => this.list.complete(upTo),
      isSuperseded: upTo => this.list.isSuperseded(upTo),
      upstreamsRevision: () => this.#options.board.read('upstreamsRevision')
    }
  }

  /** The answer to another gateway that asks for the list. Undefined if this gateway has none. */
  async answer (request: UpstreamsRequest): Promise<string | undefined> {
    const { clock, board, outage } = this.#options
    const arrivedAt = clock.bootNow()
    if (board.read('upstreamsFrom') === undefined) return undefined
    const changes = await this.#changes.after(request)
    return encodeUpstreamChanges({ ...changes, age: arrivedAt - board.read('upstreamsAt'), outageAge: Math.min(arrivedAt - outage.endedAt, noOutageAge) })
  }
}
