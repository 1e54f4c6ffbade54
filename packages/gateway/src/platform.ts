/**
 * What a gateway needs of the platform on which it runs: a store whose contents are delivered to a listener, a place where
 * placements last, and engines that take orders and answer probes. The adapter in the folder `platform` implements it; the
 * gateway knows the platform by this class alone.
 */
import { type Probes } from '@eiderwind/detect'
import { type Orders, type Placements } from '@eiderwind/forming'
import { type HeaderNames } from '@eiderwind/forward'
import { type PeerAddress } from '@eiderwind/peers'
import { type Condition, type RosterChange, type Upstream } from '@eiderwind/roster'
import { type Traffic } from '@eiderwind/traffic'
import { type AnswerHeaders } from '@eiderwind/wire'
import { type Blocks } from './blocks.js'
import { type Leaders } from './leaders.js'

/** Up to when and to which of the store's revisions a list lacks nothing. */
export interface Completeness {
  /** On `Clock.bootNow`, in ms. */
  readonly at: number
  readonly revision: number
}

/** Takes what a platform learns from its store. Times are on `Clock.bootNow`, in ms. */
export interface PlatformListener {
  /** A configuration, read by a call that was made at `askedAt`. It may be the one that is already in force. */
  configuration (traffic: Traffic, askedAt: number): void
  /** The newest configuration that was delivered was still the newest at `askedAt`. */
  confirmed (askedAt: number): void
  /** The whole list of upstreams. */
  upstreams (all: readonly Upstream[], upTo: Completeness): void
  /** Changes of that list, in the order in which they happened. */
  upstreamChanges (changes: readonly RosterChange[]): void
  /** All changes of that list have been delivered up to then. */
  upstreamsComplete (upTo: Completeness): void
  /** The store's revision up to which the list of upstreams is known, from whomever; undefined before there is one. */
  upstreamsRevision (): number | undefined
  /** The data centres that the operator has evacuated, all of them, as of one of the store's revisions. */
  evacuations (dataCentres: readonly string[], revision: number): void
  /** The whole list of gateways, this one included. */
  gateways (all: readonly PeerAddress[]): void
  /** An upstream's answer to an order said this of its condition. */
  condition (upstream: string, condition: Condition): void
  /** A call of a watch was answered. */
  storeAnswered (): void
  /**
   * A call of a watch that was made at `askedAt` failed, or its answer could not be used. Outages of the store are detected by
   * these two calls, so other failures are not reported here.
   */
  storeFailed (askedAt: number, cause: string): void
  /** Background work began to fail; it is tried again and reported again only after it has succeeded. Decides nothing. */
  taskFailed (task: string, cause: string): void
}

/** What a gateway uses the store for. Calls are paid for, so it makes no more of them than this needs. */
export interface StoreUse {
  /** It plans replicas: it needs changes of the upstreams soon, the one call for each; for others several come together a little later. */
  readonly planning: boolean
  /** It asks often whether the configuration is still the newest, and passes that on to the others. */
  readonly confirming: boolean
  /** Other gateways take the upstreams from it: it has to know often that nothing has changed. */
  readonly followed: boolean
  /** Other gateways tell it all that is new: it calls the store only to see whether it could. */
  readonly spared: boolean
  /** Gateways that live: all that are spared call more seldom, the more there are. */
  readonly fleet: number
}

/** The platform of one gateway. */
export abstract class Platform {
  /** Names of the headers by which callers, gateways and upstreams understand each other. */
  abstract readonly names: HeaderNames
  /** What the status and headers of an upstream's answer say of the upstream itself. */
  abstract conditionOf (status: number, headers: AnswerHeaders): Condition
  abstract readonly orders: Orders
  abstract readonly probes: Probes
  abstract readonly placements: Placements
  abstract readonly leaders: Leaders
  abstract readonly blocks: Blocks
  /** Delivers all that the store holds, and each change of it, until `stop`. */
  abstract watch (listener: PlatformListener): void
  /** Writes this gateway into the list of gateways; tries again until that is done or `stop` is called. */
  abstract register (gateway: PeerAddress): void
  /** What this gateway uses the store for from now on. */
  abstract setUse (use: StoreUse): void
  /**
   * Whether this gateway takes the upstreams from another one, so that it need not watch them. Where that ends, changes since
   * `PlatformListener.upstreamsRevision` are delivered, or the whole list anew.
   */
  abstract setFollowing (following: boolean): void
  /** Ends all watches and cuts all connections; calls under way fail. */
  abstract stop (): void
}
