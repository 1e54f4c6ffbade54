/**
 * The board of a worker: the facts that its parts share, such as its assignment and the state of its upstream.
 * Controllers write the board; controllers and the paths of requests read it.
 */
import { Board } from '@eiderwind/board'
import { type HeldSlot } from '@eiderwind/run'
import { type Assignment } from '@eiderwind/schema'

/** The state that the upstream beside this worker reports. */
export interface UpstreamState {
  /** Whether the upstream answers its health check. */
  readonly healthy: boolean
  /** What the engine has loaded; undefined for a plain service, or before the first reading. */
  readonly loaded: Loaded | undefined
}

/** What an engine has loaded. */
export interface Loaded {
  readonly version: string
  readonly adapters: readonly string[]
  /** The generation of the last order that the engine accepted. */
  readonly generation: number
}

/** A team and its priority. */
export interface TeamPriority {
  readonly name: string
  readonly priority: number
}

/** The facts that the parts of a worker share. */
export interface WorkerFacts {
  /** The role of this worker; undefined until an entry has sent one. */
  readonly assignment: Assignment | undefined
  /** `host:port` of the entries to report to; empty until an entry has sent the list. */
  readonly entries: readonly string[]
  /** The teams with their priorities, as an entry last sent them. */
  readonly teams: readonly TeamPriority[]
  /** The newest configuration revision that an entry has sent. */
  readonly revision: number
  /** Whether an operator or the platform has ordered the node to leave. */
  readonly mustLeave: boolean
  /** Whether this process has begun to stop. */
  readonly stopping: boolean
  readonly upstream: UpstreamState
  /** Whether this worker takes new requests. */
  readonly serving: boolean
  /** Members whose grant this head has lacked for longer than a restart of a granter takes. */
  readonly missing: readonly string[]
  /** Slots of idempotency keys whose home is this worker. */
  readonly slots: readonly HeldSlot[]
}

/** The board of a worker. */
export type WorkerBoard = Board<WorkerFacts>

/** The board of a worker that has just started. */
export function workerBoard (): WorkerBoard {
  return new Board<WorkerFacts>({
    assignment: undefined,
    entries: [],
    teams: [],
    revision: 0,
    mustLeave: false,
    stopping: false,
    upstream: { healthy: false, loaded: undefined },
    serving: false,
    missing: [],
    slots: []
  })
}
