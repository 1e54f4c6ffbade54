/**
 * The board of a worker: its assignment, its upstream, its grants and reports. Controllers write it, requests read it.
 */
import { Board } from '@eiderwind/board'
import { type HeldSlot } from '@eiderwind/run'
import { type Assignment } from '@eiderwind/schema'

/** What the upstream beside this worker says of itself. */
export interface UpstreamState {
  /** Whether it answers. */
  readonly healthy: boolean
  /** What its engine has loaded; undefined for a plain service, or before it was first read. */
  readonly loaded: Loaded | undefined
}

/** What an engine has loaded. */
export interface Loaded {
  readonly version: string
  readonly adapters: readonly string[]
  /** The generation of the order that it last took. */
  readonly generation: number
}

/** A team and its priority. */
export interface TeamPriority {
  readonly name: string
  readonly priority: number
}

/** The facts that a worker's controllers share. */
export interface WorkerFacts {
  /** What this worker has to do; undefined until an entry has said so. */
  readonly assignment: Assignment | undefined
  /** `host:port` of the entries to report to; empty until an entry has said so. */
  readonly entries: readonly string[]
  readonly teams: readonly TeamPriority[]
  /** The configuration revision in force here. */
  readonly revision: number
  /** Whether an operator or the platform told the node to leave. */
  readonly told: boolean
  /** Whether this process was told to stop. */
  readonly stopping: boolean
  readonly upstream: UpstreamState
  /** Whether new requests are taken. */
  readonly serving: boolean
  /** Members whose grant this head has lacked for long. */
  readonly missing: readonly string[]
  /** Slots of keys whose home this worker is. */
  readonly slots: readonly HeldSlot[]
}

/** The blackboard of a worker. */
export type WorkerBoard = Board<WorkerFacts>

/** The blackboard of a worker that knows nothing yet. */
export function workerBoard (): WorkerBoard {
  return new Board<WorkerFacts>({
    assignment: undefined,
    entries: [],
    teams: [],
    revision: 0,
    told: false,
    stopping: false,
    upstream: { healthy: false, loaded: undefined },
    serving: false,
    missing: [],
    slots: []
  })
}
