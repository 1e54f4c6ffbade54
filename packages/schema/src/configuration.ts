/**
 * The configuration that operators change: services, teams, operators, and the nodes and entries that are to leave. It
 * is stored as `config/current`, and sent between entries and to workers. Stored configurations must stay readable, so
 * new fields need a default and fields are never renamed.
 */
import { z } from 'zod'

const Name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'a name has 1 to 63 of a-z, 0-9 and -, and starts with a letter or digit')
const Digest = z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest in lower-case hex')

/** A model service. Each replica consists of engines on several nodes. */
export const ModelService = z.object({
  kind: z.literal('model'),
  name: Name,
  /** Desired number of replicas. */
  replicas: z.int().min(0).max(10_000),
  /** Number of nodes in a replica, all in one fabric domain. */
  members: z.int().min(1).max(32),
  version: z.string().min(1),
  adapters: z.array(z.string().min(1)).default([]),
  /** Whether the engine refuses orders with an old fencing token. */
  checksOrders: z.boolean().default(true),
  /** Maximum number of requests that run concurrently in a replica. */
  concurrency: z.int().min(1).default(64),
  /** Maximum number of requests queued in a replica. Further requests are refused. */
  queue: z.int().min(0).default(256)
})
export type ModelService = z.infer<typeof ModelService>

/** A route of a plain service whose calls may not be repeated. */
export const Route = z.object({
  method: z.string().regex(/^[A-Z]+$/, 'an HTTP method in capitals'),
  path: z.string().startsWith('/'),
  repeatable: z.boolean()
})
export type Route = z.infer<typeof Route>

/** A plain service. Each worker is a proxy for one server. */
export const PlainService = z.object({
  kind: z.literal('plain'),
  name: Name,
  routes: z.array(Route).default([]),
  concurrency: z.int().min(1).default(64),
  queue: z.int().min(0).default(256)
})
export type PlainService = z.infer<typeof PlainService>

/** A service of either kind. */
export const Service = z.discriminatedUnion('kind', [ModelService, PlainService])
export type Service = z.infer<typeof Service>

/** A team: the owner of requests, with its API keys and its share of a full replica. */
export const Team = z.object({
  name: Name,
  /** The team's share of a full replica, relative to the other teams'. */
  priority: z.int().min(1).max(100),
  /** SHA-256 digests of the team's API keys. */
  keys: z.array(Digest).default([])
})
export type Team = z.infer<typeof Team>

/** An operator who may use the operators' RPC. */
export const Operator = z.object({ name: Name, token: Digest })
export type Operator = z.infer<typeof Operator>

/** The record of one accepted change: who changed what and when, and the revisions before and after. */
export const Audit = z.object({
  operation: z.string().min(1),
  who: z.string(),
  what: z.string(),
  /** ISO 8601. */
  when: z.string(),
  from: z.int(),
  to: z.int()
})
export type Audit = z.infer<typeof Audit>

/** The complete accepted configuration: one object with one revision. */
export const Configuration = z.object({
  revision: z.int().min(0),
  services: z.array(Service),
  teams: z.array(Team),
  operators: z.array(Operator),
  /** Ids of the nodes and entries that operators have requested to leave. */
  leaving: z.array(z.string()),
  /** The latest changes, with the newest last. Older changes are in `audit/<revision>` objects. */
  audit: z.array(Audit)
})
export type Configuration = z.infer<typeof Configuration>

/** The configuration before any change. */
export const emptyConfiguration: Configuration = {
  revision: 0, services: [], teams: [], operators: [], leaving: [], audit: []
}
