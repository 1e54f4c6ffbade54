/**
 * The interface to the store's record of which gateway plans the replicas of a service. Owns the types only; the
 * platform's adapter stores the record.
 */
import { type WriteFailure } from '@eiderwind/forming'
import { type Result } from 'ts-results-es'

/** The leader of a service. */
export interface Leader {
  /** Id of the gateway; empty if no gateway ever led. */
  readonly id: string
  /** Rises with each election; 0 before the first one. */
  readonly term: number
}

/** The leader before any election. */
export const noLeader: Leader = { id: '', term: 0 }

/** The store of the records, one for each service. */
export abstract class Leaders {
  /** Reads the leader. An error says why the record could not be read. */
  abstract read (service: string): Promise<Result<Leader, string>>
  /** Makes a gateway the leader, provided that the record still has the value `read`. Returns the new term. */
  abstract elect (service: string, id: string, read: Leader): Promise<Result<number, WriteFailure>>
}
