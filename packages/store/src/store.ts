/**
 * What the entries need of the platform's object API: versioned objects, conditional updates, watches, and the node list.
 * It owns no state; implementations do. `HttpStore` is the client, `MemoryStore` the same semantics in memory.
 */
import { type Result } from 'ts-results-es'
import { type Fault } from '@eiderwind/fault'
import { type Node } from '@eiderwind/schema'

/** An object of the platform's object API. */
export interface Stored {
  readonly key: string
  /** Rises with every update of the object; 0 stands for "not there". */
  readonly version: number
  readonly value: unknown
}

/**
 * The platform's object API as the system uses it. Every call ends within its time-out. A write fails with
 * `stale-revision` when the version differs, with `store-down` when it was certainly not applied, and with
 * `store-unknown` when it may have been.
 */
export abstract class Store {
  /** The object, or one of version 0 and value `null` where there is none. */
  abstract read (key: string): Promise<Result<Stored, Fault>>
  /** Every object whose key starts with `prefix`. */
  abstract list (prefix: string): Promise<Result<Stored[], Fault>>
  /** Replaces the object if its version is still `version` (0: if it is not there yet). Gives the new version. */
  abstract write (key: string, value: unknown, version: number): Promise<Result<number, Fault>>
  /** Waits up to `timeout` ms for a version above `version`; gives what is there then, changed or not. */
  abstract watch (key: string, version: number, timeout: number): Promise<Result<Stored, Fault>>
  /** The node list. It may lag. */
  abstract nodes (): Promise<Result<Node[], Fault>>
}
