/**
 * The interface to the store of blocks. If all gateways are killed at once, they load their blocks from it. Owns the
 * type only; the platform's adapter stores the records.
 */
import { type Block } from '@eiderwind/crashes'

/** The store of blocks. */
export abstract class Blocks {
  /** Delivers all stored blocks, once the store can be read. Blocks stored later are not delivered. */
  abstract read (deliver: (blocks: readonly Block[]) => void): void
  /** Stores a block under its id, with the upstreams that crashed. Retries until that succeeds. */
  abstract write (id: string, block: Block, upstreams: readonly string[]): void
  /** Removes a block, if it is stored. Retries until that succeeds. */
  abstract remove (id: string): void
}
