/**
 * The interface between a gateway and the platform on which it runs: a store whose contents are delivered to a
 * listener, durable storage for placements, and engines that take orders and answer probes. The adapter in the folder
 * `platform` implements it. The gateway uses the platform only through this class.
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

/** The time and the store's revision up to which a list is complete. */
export interface Completeness {
  /** On `Clock.bootNow`, in ms. */
  readonly at: number
  readonly revision: number
}

/**
 * A delivery of objects that failed in this process, and was reported. The platform has to deliver the whole list again,
 * since a part of it may not have been taken.
 */
export class DeliveryError extends Error {
  constructor () {
    super('A delivery failed in this process; its log has the cause.')
    this.name = 'DeliveryError'
  }
}

/** Receives what a platform reads from its store. Times are on `Clock.bootNow`, in ms. */
export interface PlatformListener {
  /** A configuration, read by a call that was made at `askedAt`. It may already be in force. */
  configuration (traffic: Traffic, askedAt: number): void
  /** The newest delivered configuration was still the newest at `askedAt`. */
  confirmed (askedAt: number): void
  /** The whole list of upstreams. */
  upstreams (all: readonly Upstream[], upTo: Completeness): void
  /** Changes of that list, in the order in which they happened. */
  upstreamChanges (changes: readonly RosterChange[]): void
  /** All changes of that list up to then have been delivered. */
  upstreamsComplete (upTo: Completeness): void
  /**
   * Whether the list is already known beyond an answer that was requested at `upTo.at` and is complete up to
   * `upTo.revision`. Such an answer came late, and its changes would undo later ones.
   */
  isSuperseded (upTo: Completeness): boolean
  /**
   * The store's revision up to which the list of upstreams is known, from any source; undefined before there is a list.
   */
  upstreamsRevision (): number | undefined
  /** All data centres that the operator has evacuated, as of one of the store's revisions. */
  evacuations (dataCentres: readonly string[], revision: number): void
  /** The whole list of gateways, this one included. */
  gateways (all: readonly PeerAddress[]): void
  /** The condition that an upstream reported in its answer to an order. */
  condition (upstream: string, condition: Condition): void
  /** A call of a watch was answered. */
  storeAnswered (): void
  /**
   * A call of a watch that was made at `askedAt` failed, or its answer could not be used. Outages of the store are
   * detected by this method and `storeAnswered`, so no other failures are reported here.
   */
  storeFailed (askedAt: number, cause: string): void
  /**
   * Background work began to fail. It is retried, and reported again only after it has succeeded in between. For the
   * log only.
   */
  taskFailed (task: string, cause: string): void
  /**
   * An object that another writer has stored is not used, or a part of it. Each reason is reported once. For the log and
   * the metrics only.
   */
  invalidObject (kind: string, reason: string): void
}

/** How a gateway uses the store. Calls cost money, so it makes only those that this use requires. */
export interface StoreUse {
  /**
   * It plans replicas, so it needs changes of the upstreams soon and makes one call for each change. Otherwise several
   * changes arrive together, a little later.
   */
  readonly planning: boolean
  /** It asks often whether the configuration is still the newest, and forwards the answer to the other gateways. */
  readonly confirming: boolean
  /** Other gateways take the upstreams from it, so it must confirm often that nothing has changed. */
  readonly followed: boolean
  /** Other gateways send it all changes. It calls the store only to check that the store can be reached. */
  readonly spared: boolean
  /** Number of live gateways. The more there are, the less often each spared gateway calls. */
  readonly fleet: number
}

/** The platform of one gateway. */
export abstract class Platform {
  /** Names of the headers that callers, gateways and upstreams exchange. */
  abstract readonly names: HeaderNames
  /** The upstream's condition by the status and headers of its answer. */
  abstract conditionOf (status: number, headers: AnswerHeaders): Condition
  abstract readonly orders: Orders
  abstract readonly probes: Probes
  abstract readonly placements: Placements
  abstract readonly leaders: Leaders
  abstract readonly blocks: Blocks
  /** Delivers the store's contents, and each change of them, until `stop`. */
  abstract watch (listener: PlatformListener): void
  /** Adds this gateway to the list of gateways. Retries until that succeeds or `stop` is called. */
  abstract register (gateway: PeerAddress): void
  /** Sets how this gateway uses the store from now on. */
  abstract setUse (use: StoreUse): void
  /**
   * Sets whether this gateway takes the upstreams from another one, and so need not watch them. When that ends, the
   * changes since `PlatformListener.upstreamsRevision` are delivered, or the whole list again.
   */
  abstract setFollowing (following: boolean): void
  /** Ends all watches and closes all connections. Calls in progress fail. */
  abstract stop (): void
}
