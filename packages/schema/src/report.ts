/**
 * The messages between workers and entries: a worker's report, and the assignment and settings in the answer to it.
 * They are sent and never stored. Entries and workers of two versions run at the same time, so new fields must be
 * optional.
 */
import { Address } from '@eiderwind/address'
import { z } from 'zod'

/** Ids of processes become values of headers, so they hold visible ASCII characters only. */
const Incarnation = z.string().regex(/^[\x21-\x7e]{1,256}$/)

const Count = z.int().nonnegative()

/** The state that a worker reports periodically to a few entries of its data centre. */
export const Report = z.object({
  worker: z.string(),
  /** An id that is created each time the process starts. */
  incarnation: Incarnation,
  address: Address,
  dataCentre: z.string(),
  /** Increases with each report of one incarnation. */
  sequence: z.int(),
  service: z.string().optional(),
  replica: z.string().optional(),
  generation: z.int().optional(),
  /** Number of members of the replica, if this worker is its head. */
  members: z.int().optional(),
  /** Whether the worker takes requests: a head with a grant of every member, or a plain worker whose service is up. */
  serving: z.boolean(),
  leaving: z.boolean(),
  /** Whether the engine or service of this worker answers. */
  healthy: z.boolean(),
  running: Count,
  queued: Count,
  concurrency: Count,
  /** Members from which this head has had no grant for a long time. */
  missing: z.array(z.string()),
  /** Slots of idempotency keys for which this worker is the home. */
  slots: z.array(z.object({ slot: z.int(), tenure: z.int() })),
  /** The version and generation that the engine accepted last. Absent if there is no engine. */
  loaded: z.object({ version: z.string(), generation: z.int() }).optional(),
  /** Revision of a plain worker's list of voters. */
  votersRevision: z.int().optional(),
  /** The configuration revision in force. */
  revision: z.int()
})
export type Report = z.infer<typeof Report>

/** A member or voter, with the address at which a worker reaches it. */
export const Peer = z.object({ id: z.string(), address: Address })
export type Peer = z.infer<typeof Peer>

/** The assignment of a model worker: its replica, and the members that grant leases to the replica's head. */
export const ModelAssignment = z.object({
  kind: z.literal('model'),
  /** Revision of the placement that contains the replica. */
  revision: z.int(),
  service: z.string(),
  replica: z.string(),
  generation: z.int(),
  head: z.string(),
  members: z.array(Peer),
  version: z.string(),
  adapters: z.array(z.string()),
  state: z.enum(['serving', 'leaving']),
  checksOrders: z.boolean(),
  concurrency: z.int(),
  queue: z.int()
})
export type ModelAssignment = z.infer<typeof ModelAssignment>

/** The assignment of a plain worker: its service, and the voters on the homes of keys. */
export const PlainAssignment = z.object({
  kind: z.literal('plain'),
  /** Revision of the list of voters. */
  revision: z.int(),
  service: z.string(),
  voters: z.array(Peer),
  concurrency: z.int(),
  queue: z.int()
})
export type PlainAssignment = z.infer<typeof PlainAssignment>

/** The assignment of a worker whose node belongs to no replica. `revision` is the revision of the placement. */
export const SpareAssignment = z.object({ kind: z.literal('spare'), revision: z.int() })

/** The assignment of a worker of any kind. */
export const Assignment = z.discriminatedUnion('kind', [ModelAssignment, PlainAssignment, SpareAssignment])
export type Assignment = z.infer<typeof Assignment>

/** An entry's answer to a report. */
export const ReportAnswer = z.object({
  /** The configuration revision from which the answer was made. Workers drop answers with older revisions. */
  revision: z.int(),
  /** Absent while the entry does not know the placement. */
  assignment: Assignment.optional(),
  /** Whether an operator or the platform has requested that this node leave. */
  leaving: z.boolean(),
  /** Absent if the worker already uses this revision. */
  teams: z.array(z.object({ name: z.string(), priority: z.int() })).optional(),
  /** `host:port` of the entries to report to. */
  entries: z.array(z.string())
})
export type ReportAnswer = z.infer<typeof ReportAnswer>
