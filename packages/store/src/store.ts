/**
 * The interface to the platform's object API: versioned objects, conditional updates, watches and the node list. It
 * owns no state. `HttpStore` implements it as a client of the platform, `MemoryStore` in memory.
 */
import { type Result } from 'ts-results-es'
import { type Fault } from '@eiderwind/fault'
import { type Node } from '@eiderwind/schema'

/** An object of the platform's object API. */
export interface StoredObject {
  readonly key: string
  /** Increases with every update of the object. 0 means that the object does not exist. */
  readonly version: number
  readonly value: unknown
}

/**
 * The platform's object API. Every call ends within its time-out. A write fails with `stale-revision` if the version
 * differs, with `store-down` if it was certainly not applied, and with `store-unknown` if it may have been applied. Any
 * other call fails with `store-silent` if it is not answered in time, and with `store-down` if the store refuses it.
 */
export abstract class Store {
  /** Returns the object. An object that does not exist has version 0 and the value `null`. */
  abstract read (key: string): Promise<Result<StoredObject, Fault>>
  /** Returns all objects whose keys start with `prefix`. */
  abstract list (prefix: string): Promise<Result<StoredObject[], Fault>>
  /** Replaces the object if its version is `version` (0: if it does not exist). Returns the new version. */
  abstract write (key: string, value: unknown, version: number): Promise<Result<number, Fault>>
  /** Waits up to `timeout` ms for a version above `version`. Returns the current object, changed or not. */
  abstract watch (key: string, version: number, timeout: number): Promise<Result<StoredObject, Fault>>
  /** Returns the node list. It may be out of date. */
  abstract nodes (): Promise<Result<Node[], Fault>>
}
