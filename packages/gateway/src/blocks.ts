/**
 * The interface to the store of blocked requests. If all gateways are killed at once, they load their blocked requests
 * from it. Owns the type only; the platform's adapter stores the records.
 */
import { type BlockedRequest } from '@eiderwind/crashes'

/** The store of blocked requests. */
export abstract class Blocks {
  /** Delivers all stored requests, once the store can be read. Requests stored later are not delivered. */
  abstract read (deliver: (blocked: readonly BlockedRequest[]) => void): void
  /** Stores a request that has just been blocked, by its fingerprint. Retries until that succeeds. */
  abstract write (request: string): void
}
