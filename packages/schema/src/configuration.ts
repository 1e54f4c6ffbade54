/**
 * The configuration that operators change: services, teams, operators, what is to leave. Stored as `config/current`, sent
 * between entries and to workers. What is stored must stay readable: fields are added with a default, never renamed.
 */
import { z } from 'zod'

const Name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'a name has 1 to 63 of a-z, 0-9 and -, and starts with a letter or digit')
const Digest = z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest in lower-case hex')

/** A model service: engines on several nodes form each replica. */
export const ModelService = z.object({
  kind: z.literal('model'),
  name: Name,
  /** How many replicas are wanted. */
  replicas: z.int().min(0).max(10_000),
  /** Nodes in a replica, all in one fabric domain. */
  members: z.int().min(1).max(32),
  version: z.string().min(1),
  adapters: z.array(z.string().min(1)).default([]),
  /** Whether the engine refuses orders with an old fencing token. */
  checksOrders: z.boolean().default(true),
  /** Requests that run at once in a replica. */
  concurrency: z.int().min(1).default(64),
  /** Requests that wait in a replica before new ones are refused. */
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

/** A plain service: each worker stands before one server. */
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

/** A team: who calls, and with which share of a full queue. */
export const Team = z.object({
  name: Name,
  /** The team's share of a full replica, relative to the other teams'. */
  priority: z.int().min(1).max(100),
  /** SHA-256 digests of the team's API keys. */
  keys: z.array(Digest).default([])
})
export type Team = z.infer<typeof Team>

/** An operator who may call the RPC. */
export const Operator = z.object({ name: Name, token: Digest })
export type Operator = z.infer<typeof Operator>

/** One accepted change: who changed what, when, from and to which revision. */
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

/** The whole accepted configuration, one object with one revision. */
export const Configuration = z.object({
  revision: z.int().min(0),
  services: z.array(Service),
  teams: z.array(Team),
  operators: z.array(Operator),
  /** Ids of nodes and entries that operators told to leave. */
  leaving: z.array(z.string()),
  /** The latest changes, newest last; older ones are in `audit/<revision>` objects. */
  audit: z.array(Audit)
})
export type Configuration = z.infer<typeof Configuration>

/** The configuration before any change. */
export const emptyConfiguration: Configuration = {
  revision: 0, services: [], teams: [], operators: [], leaving: [], audit: []
}
