/**
 * What was decided for a fabric domain: its targets and its replicas. Owns the types of it; the form in which it is stored is
 * the adapter's. Relies on `Placements` to keep it beyond the life of every process.
 */
import { type Result } from 'ts-results-es'
import { type Counts } from './targets.js'

/** A node of a replica. Its address is kept so that it can be reached after the platform no longer lists it. */
export interface Member {
  readonly id: string
  readonly address: string
}

/** A replica that was decided on. Its members never change: a repair makes another replica, with a higher epoch. */
export interface PlannedReplica {
  /** The domain's key and the epoch, as `KEY.EPOCH`: unique over all planners. */
  readonly name: string
  readonly model: string
  readonly epoch: number
  /** At least one; the head first. */
  readonly members: readonly Member[]
  /** Whether it gives its engines to another model: it is closed, then dissolved. */
  readonly retiring?: boolean
}

/** The desired state of one domain. It is stored before any order that depends on it is given. */
export interface Placement {
  /** The domain's key, `SERVICE.DOMAIN`. */
  readonly domain: string
  /** The highest epoch assigned here so far. */
  readonly epoch: number
  readonly replicas: readonly PlannedReplica[]
  /** Replicas of each model that the domain should have. */
  readonly targets: Counts
}

/** The placement of a domain before any decision. */
export function emptyPlacement (domain: string): Placement {
  return { domain, epoch: 0, replicas: [], targets: {} }
}

/** Why a placement was not written: another write came first, or the store's answer was lost or was an error. */
export type WriteFailure = 'conflict' | 'unknown'

/** The store of placements, with a version for each, by which concurrent planners are detected. */
export abstract class Placements {
  /** The placement of a domain; an empty one with version 0 where there is none. An error says why it can't be read. */
  abstract read (domain: string): Promise<Result<{ readonly placement: Placement, readonly version: number }, string>>
  /** Replaces the placement if its version is still `version` (0: none exists yet). Returns the new version. */
  abstract write (placement: Placement, version: number): Promise<Result<number, WriteFailure>>
}
