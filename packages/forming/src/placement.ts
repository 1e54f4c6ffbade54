/**
 * What was decided for a fabric domain: its targets and its replicas. Owns the schemas of the stored object, so a field
 * renamed here is renamed in the store. Relies on `Placements` to keep it beyond the life of every process.
 */
import { z } from 'zod'
import { type Result } from 'ts-results-es'

/** A node of a replica. Its address is kept so that it can be reached after the platform no longer lists it. */
export const Member = z.object({ id: z.string(), address: z.string() })
export type Member = z.infer<typeof Member>

/** A replica that was decided on. Its members never change: a repair makes another replica, with a higher epoch. */
export const PlannedReplica = z.object({
  /** The domain's key and the epoch, as `KEY.EPOCH`: unique over all planners. */
  name: z.string(),
  model: z.string(),
  epoch: z.int().min(1),
  /** The head first. */
  members: z.array(Member).min(1),
  /** Whether it gives its engines to another model: it is closed, then dissolved. */
  retiring: z.boolean().optional()
})
export type PlannedReplica = z.infer<typeof PlannedReplica>

/** The desired state of one domain. It is stored before any order that depends on it is given. */
export const Placement = z.object({
  /** The domain's key, `SERVICE.DOMAIN`. */
  domain: z.string(),
  /** The highest epoch assigned here so far. */
  epoch: z.int().min(0),
  replicas: z.array(PlannedReplica),
  /** Replicas of each model that the domain should have. */
  targets: z.record(z.string(), z.int()).default({})
})
export type Placement = z.infer<typeof Placement>

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
