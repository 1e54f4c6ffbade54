/**
 * The blocked requests, as the gateways need them of a store: what all of them forget when all are killed at once is read there again. Owns the type
 * only; the adapter of the platform keeps the records.
 */
import { type BlockedRequest } from '@eiderwind/crashes'

/** The store of blocked requests. */
export abstract class Blocks {
  /** Delivers all that are stored, once the store can be read; later ones are not delivered. */
  abstract read (deliver: (blocked: readonly BlockedRequest[]) => void): void
  /** Stores a request that was blocked just now, by its fingerprint. Tries again until that is done. */
  abstract write (request: string): void
}
