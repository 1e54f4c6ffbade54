import { type Result } from 'ts-results-es'
import { type Order } from './facts.js'
import { type OrderResult } from './ledger.js'
import { type Placement } from './placement.js'

/** Gives orders to engines. */
export abstract class Orders {
  abstract give (order: Order): Promise<OrderResult>
}

/** Why a placement could not be written: another one was there first, or nobody can tell. */
export type WriteFailure = 'conflict' | 'unknown'

/** Keeps placements where they outlast every process. */
export abstract class Placements {
  abstract read (domain: string): Promise<Result<{ readonly placement: Placement, readonly version: number }, string>>
  /** Replaces the placement if its version is still `version` (0: there is none yet). Gives the new version. */
  abstract write (placement: Placement, version: number): Promise<Result<number, WriteFailure>>
}
