/**
 * Connects the detection of requests that crash upstreams with the rest of the gateway: the roster, heartbeats in both
 * directions, the log, and the list of blocks that the gateways share. Creates `Crashes` and `Blocklist`, and
 * owns nothing else.
 */
import { type Clock } from '@eiderwind/clock'
import { blockId, Crashes, type BlockChange, type Crash } from '@eiderwind/crashes'
import { type Log } from '@eiderwind/log'
import { type Heartbeat, type PeerAddress, type Peers } from '@eiderwind/peers'
import { type Roster } from '@eiderwind/roster'
import { probeAddress, type Connections } from '@eiderwind/wire'
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
  /** Called with the reason why a block in another gateway's answer is left out. */
  readonly invalid: (reason: string) => void
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
      probe: async address => await probeAddress(address, clock, connectTime),
      otherTrials: () => peers.live.map(trialNames),
      announce: () => peers.send(),
      changed,
      crashed: crash => this.#crashed(crash),
      blockChanged: change => this.#blockChanged(change)
    })
    this.#blocklist = new Blocklist({ ...options, crashes: this.crashes })
  }

  /** Loads the blocks that were stored before this process began. */
  start (): void {
    this.#blocklist.start()
  }

  /** This module's fields of the heartbeats to other gateways. */
  get heartbeatFields (): Pick<Heartbeat, 'crashes' | 'cleared' | 'clearances' | 'trials' | 'trialNames' | 'blocked'> {
    return { ...this.crashes.heartbeatFields, blocked: this.#blocklist.digest }
  }

  /** Takes the crashes, cleared requests and digest from another gateway's heartbeat. */
  receiveHeartbeat ({ crashes = [], cleared = [], clearances, blocked }: Heartbeat, from: PeerAddress): void {
    this.crashes.receive({ crashes, cleared, clearances })
    this.#blocklist.receiveDigest(blocked, from)
  }

  #crashed ({ upstream, requests }: Crash): void {
    const parts = new Set(requests.flatMap(each => each.parts))
    this.#options.log.write('upstream-crashed', { upstream, requests: requests.map(each => each.request).join(' '), parts: parts.size === 0 ? undefined : [...parts].join(' ') })
  }

  #blockChanged (change: BlockChange): void {
    const { names, replaces, upstreams } = change
    const id = blockId(names)
    const block = this.crashes.blocks.find(each => blockId(each.names) === id)
    if (block !== undefined) this.#options.log.write('request-blocked', { fingerprint: id, names: names.join(' '), upstreams: upstreams.join(' '), remaining: Math.round(block.duration - block.age) })
    if (replaces !== undefined) this.#options.log.write('block-lifted', { fingerprint: replaces, left: names.length === 0 ? undefined : id })
    this.#blocklist.store(change)
  }
}

/** The names for which a gateway has requests on trial, by upstream. Builds that send none have only fingerprints. */
function trialNames ({ trials = {}, trialNames: names }: Heartbeat): Readonly<Record<string, readonly string[]>> {
  return names ?? Object.fromEntries(Object.entries(trials).map(([upstream, request]) => [upstream, [request]]))
}
