import { type Probes } from '@eiderwind/detect'
import { type Orders, type Placements } from '@eiderwind/forming'
import { type HeaderNames } from '@eiderwind/forward'
import { type PeerAddress } from '@eiderwind/peers'
import { type RosterChange, type Upstream } from '@eiderwind/roster'
import { type Traffic } from '@eiderwind/traffic'

/** Takes what the platform tells. Times are on `Clock.now`. */
export interface Follower {
  /** A configuration, and when it was asked for. */
  traffic (traffic: Traffic, askedAt: number): void
  /** The newest configuration that was told is still the newest one. */
  confirmed (askedAt: number): void
  /** The whole list of upstreams, and what has changed in it. */
  upstreams (all: readonly Upstream[]): void
  changes (changes: readonly RosterChange[]): void
  /** The whole list of entries. */
  entries (entries: readonly PeerAddress[]): void
  /** A call was answered. */
  answered (): void
  /** A call that was made at `askedAt` failed. */
  failed (askedAt: number, why: string): void
}

/** The platform that an entry runs on: what it tells, what it keeps, and how it talks. */
export abstract class Platform {
  abstract readonly names: HeaderNames
  abstract readonly orders: Orders
  abstract readonly probes: Probes
  abstract readonly placements: Placements
  /** Tells the follower everything, and each change, until `stop`. */
  abstract follow (follower: Follower): void
  /** Enters this entry into the list of entries, again and again until that is done. */
  abstract enter (entry: PeerAddress): void
  /** Whether changes of the upstreams matter within milliseconds, or several may come together a little later. */
  abstract hurry (urgent: boolean): void
  /** Whether this entry confirms the configuration for others, too, or hears confirmations from them. */
  abstract confirms (often: boolean): void
  abstract stop (): void
}
