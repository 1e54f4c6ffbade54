/**
 * Connects the detection of requests that crash upstreams with the rest of the gateway: the roster, heartbeats in both
 * directions, the log, and the list of blocked requests that the gateways share. Creates `Crashes` and `Blocklist`, and
 * owns nothing else.
 */
import { type Clock } from '@eiderwind/clock'
import { Crashes, type Crash } from '@eiderwind/crashes'
import { type Log } from '@eiderwind/log'
import { type Heartbeat, type PeerAddress, type Peers } from '@eiderwind/peers'
import { type Roster } from '@eiderwind/roster'
import { listensAt, type Connections } from '@eiderwind/wire'
import { Blocklist } from './blocklist.js'
import { type Blocks } from './blocks.js'

/** Dependencies of `CrashWatch`. */
export interface CrashWatchOptions {
  readonly clock: Clock
  readonly log: Log
  /** This gateway's id. */
  readonly id: string
  readonly roster: Roster
  readonly peers: Peers
  readonly connections: Connections
  readonly blocks: Blocks
  /** How long a new connection to an upstream may take, in ms. */
  readonly connectTime: number
  /** Called when waiting requests should search for an upstream again. */
  readonly changed: () => void
}

/** Crashes of upstreams, and the requests that caused them. */
export class CrashWatch {
  readonly crashes: Crashes
  readonly #options: CrashWatchOptions
  readonly #blocklist: Blocklist

  constructor (options: CrashWatchOptions) {
    const { clock, roster, peers, connectTime, changed } = options
    this.#options = options
    this.crashes = new Crashes({
      clock,
      hasEnded: upstream => roster.hasEnded(upstream),
      listensAt: async address => await listensAt(address, clock, connectTime),
      otherTrials: () => peers.live.flatMap(({ trials }) => trials === undefined ? [] : [trials]),
      announce: () => peers.send(),
      changed,
      crashed: crash => this.#crashed(crash),
      blocked: (request, upstreams) => this.#blocked(request, upstreams)
    })
    this.#blocklist = new Blocklist({ ...options, crashes: this.crashes })
  }

  /** Loads the blocked requests that were stored before this process began. */
  start (): void {
    this.#blocklist.start()
  }

  /** This module's fields of the heartbeats to other gateways. */
  get heartbeatFields (): Pick<Heartbeat, 'crashes' | 'cleared' | 'trials' | 'blocked'> {
    return { ...this.crashes.heartbeatFields, blocked: this.#blocklist.digest }
  }

  /** Takes the crashes, cleared requests and digest from another gateway's heartbeat. */
  receiveHeartbeat ({ crashes = [], cleared = [], blocked }: Heartbeat, from: PeerAddress): void {
    this.crashes.receive({ crashes, cleared })
    this.#blocklist.receiveDigest(blocked, from)
  }

  #crashed ({ upstream, requests }: Crash): void {
    this.#options.log.write('upstream-crashed', { upstream, requests: requests.join(' ') })
  }

  #blocked (request: string, upstreams: readonly string[]): void {
    const remaining = Math.round(this.crashes.blockedFor({ fingerprint: request, parts: [], team: '' }))
    this.#options.log.write('request-blocked', { fingerprint: request, upstreams: upstreams.join(' '), remaining })
    this.#blocklist.add(request)
  }
}
