/**
 * The decisions for a fabric domain: its targets and its replicas. Owns their types; the adapter owns the stored
 * format. Relies on `Placements` to store them durably, so that they outlive every process.
 */
import { type Result } from 'ts-results-es'
import { type Counts } from './targets.js'

/** A node of a replica. Its address is stored so that it can be reached after the platform no longer lists it. */
export interface Member {
  readonly id: string
  readonly address: string
}

/**
 * A replica that a planner has decided on. Its members never change: a repair creates another replica with a higher
 * epoch.
 */
export interface PlannedReplica {
  /** The domain's key and the epoch, as `KEY.EPOCH`. It is unique over all planners. */
  readonly name: string
  readonly model: string
  readonly epoch: number
  /** At least one member; the head first. */
  readonly members: readonly Member[]
  /** Whether the replica gives its engines to another model. It is closed, then dissolved. */
  readonly retiring?: boolean
}

/** The desired state of one domain. It is stored before any order that depends on it is sent. */
export interface Placement {
  /** The domain's key, `SERVICE.DOMAIN`. */
  readonly domain: string
  /** The highest epoch assigned in this domain so far. */
  readonly epoch: number
  readonly replicas: readonly PlannedReplica[]
  /** Replicas of each model that the domain should have. */
  readonly targets: Counts
}

/** The placement of a domain before any decision. */
export function emptyPlacement (domain: string): Placement {
  return { domain, epoch: 0, replicas: [], targets: {} }
}

/**
 * Why a placement was not written. `conflict`: another write came first. `unknown`: the store's answer was lost or was
 * an error.
 */
export type WriteFailure = 'conflict' | 'unknown'

/** The store of placements. Each has a version, which reveals concurrent planners. */
export abstract class Placements {
  /**
   * Reads the placement of a domain. Returns an empty one with version 0 if none is stored. The error is the reason why
   * it can't be read.
   */
  abstract read (domain: string): Promise<Result<{ readonly placement: Placement, readonly version: number }, string>>
  /** Replaces the placement if its version is still `version` (0: none exists yet). Returns the new version. */
  abstract write (placement: Placement, version: number): Promise<Result<number, WriteFailure>>
}
