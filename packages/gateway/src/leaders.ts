/**
 * The record of which gateway plans the replicas of a service, as the gateways need it of a store. Owns the types only; the adapter of the
 * platform keeps the record.
 */
import { type WriteFailure } from '@eiderwind/forming'
import { type Result } from 'ts-results-es'

/** Who leads a service. */
export interface Leader {
  /** Id of the gateway; empty where nobody ever led. */
  readonly id: string
  /** Rises with each election; 0 where there was none. */
  readonly term: number
}

/** The leader before any election. */
export const nobody: Leader = { id: '', term: 0 }

/** The store of the records, one for each service. */
export abstract class Leaders {
  /** Who leads. An error says why it can't be read. */
  abstract read (service: string): Promise<Result<Leader, string>>
  /** Makes a gateway the leader, if the record is still as it was read. Returns its term. */
  abstract elect (service: string, id: string, read: Leader): Promise<Result<number, WriteFailure>>
}
