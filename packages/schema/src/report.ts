/**
 * What workers and entries tell each other: a worker's report, and the assignment and settings that it gets as the answer.
 * Sent, never stored; entries and workers of two versions serve side by side, so fields are added as optional only.
 */
import { z } from 'zod'

/** What a worker tells a few entries of its data centre about itself, again and again. */
export const Report = z.object({
  worker: z.string(),
  /** A new one each time the process starts. */
  incarnation: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  /** Rises with each report of one incarnation. */
  sequence: z.int(),
  service: z.string().optional(),
  replica: z.string().optional(),
  generation: z.int().optional(),
  /** Members of the replica that this worker is the head of. */
  members: z.int().optional(),
  /** Whether it takes requests: a head with every grant, or a plain worker with its service up. */
  serving: z.boolean(),
  leaving: z.boolean(),
  /** Whether the engine or service beside it answers. */
  healthy: z.boolean(),
  running: z.int(),
  queued: z.int(),
  concurrency: z.int(),
  /** Members whose grant this head has lacked for long. */
  missing: z.array(z.string()),
  /** Slots of keys that this worker is the home of. */
  slots: z.array(z.object({ slot: z.int(), tenure: z.int() })),
  /** The version and generation that the engine last took, where there is an engine. */
  loaded: z.object({ version: z.string(), generation: z.int() }).optional(),
  /** Revision of the list of voters that a plain worker goes by. */
  votersRevision: z.int().optional(),
  /** The configuration revision in force. */
  revision: z.int()
})
export type Report = z.infer<typeof Report>

/** A member or voter as a worker has to reach it. */
export const Peer = z.object({ id: z.string(), address: z.string() })
export type Peer = z.infer<typeof Peer>

/** What a model worker has to do: which replica it belongs to and, as its head, whom to ask for grants. */
export const ModelAssignment = z.object({
  kind: z.literal('model'),
  /** Revision of the placement it comes from. */
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

/** What a plain worker has to do: which service it serves and who votes on homes. */
export const PlainAssignment = z.object({
  kind: z.literal('plain'),
  revision: z.int(),
  service: z.string(),
  voters: z.array(Peer),
  concurrency: z.int(),
  queue: z.int()
})
export type PlainAssignment = z.infer<typeof PlainAssignment>

/** A node that belongs to no replica. */
export const SpareAssignment = z.object({ kind: z.literal('spare'), revision: z.int() })

/** What a worker has to do. */
export const Assignment = z.discriminatedUnion('kind', [ModelAssignment, PlainAssignment, SpareAssignment])
export type Assignment = z.infer<typeof Assignment>

/** An entry's answer to a report. */
export const ReportAnswer = z.object({
  /** The configuration revision that this answer is made from; answers of older ones are dropped. */
  revision: z.int(),
  /** Undefined while the entry does not know the placement. */
  assignment: Assignment.optional(),
  /** Whether an operator or the platform told this node to leave. */
  leaving: z.boolean(),
  /** Left out where the worker goes by this revision already. */
  teams: z.array(z.object({ name: z.string(), priority: z.int() })).optional(),
  /** `host:port` of the entries to report to. */
  entries: z.array(z.string())
})
export type ReportAnswer = z.infer<typeof ReportAnswer>
