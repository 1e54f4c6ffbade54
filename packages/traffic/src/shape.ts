/**
 * The configuration that a gateway serves callers by: routes, services, teams, limits. The adapter translates the
 * operator's configuration into this shape, and **a gateway sends it as JSON to a peer that has an older one** (`Traffic`
 * in the answer to `GET /confirmation`). Field names here are therefore names on the wire, held by
 * platform/test/bytes.test.ts: never rename, drop or retype one, and make new ones optional, because gateways of two
 * builds serve one site together during a restart. Fields that nothing reads are marked; they stay for the same reason.
 */
import { z } from 'zod'

/** A time, in ms. */
const Span = z.number().min(0)

/** One of the services that a route's requests are split between, with its part in them. */
export const Share = z.object({ service: z.string(), weight: z.number().min(0) })
export type Share = z.infer<typeof Share>

/** Where requests of one host below one path prefix go, and what may be done with them. Spans are in ms. */
export const Route = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  prefix: z.string().startsWith('/').endsWith('/'),
  /** `repeatable`: may run more than once. `once`: may not. `stream`: a series of events, which runs once unless `resumable`. */
  kind: z.enum(['repeatable', 'once', 'stream']),
  /** Whether a stream may move to another replica, which continues it after the last event that the caller has. */
  resumable: z.boolean(),
  /** Longest time that a request may be held: its deadline, unless the caller sends a shorter one. */
  timeout: Span,
  /** Time within which an answer, or a stream's first event, is on time. Admission derives the longest wait from it. */
  objective: Span,
  /** Longest pause between two events of a stream that is on time. Nothing reads it. */
  gap: Span,
  /** 0 is the most urgent. */
  priority: z.int().min(0),
  /** Most upstreams that one request may be sent to. */
  attempts: z.int().min(1),
  /** Whether requests need no API key. */
  open: z.boolean(),
  shares: z.array(Share).min(1)
})
export type Route = z.infer<typeof Route>

/** A model that an engine can serve. */
export const Model = z.object({
  name: z.string(),
  /** Engines in one of its replicas. */
  size: z.int().min(1),
  /** Its expected part of the work. With `pace`, `forming` plans by it until demand was measured. */
  share: z.number().min(0),
  /** Factor on all times of its replicas. */
  pace: z.number().positive(),
  /** Time of a load from the weight store, in ms. `forming` paces its orders to load by it. */
  load: Span,
  /** Time of a load from the host's own memory, in ms. Nothing reads it. */
  warm: Span
})
export type Model = z.infer<typeof Model>

/** How the engines of a model service work. */
export const Engine = z.object({
  /** Requests that a replica runs at once. `dispatch` admits by it. */
  slots: z.int().min(1),
  models: z.array(Model).min(1),
  /** Time of one step of decoding, in ms. Nothing reads it. */
  step: Span,
  /** How much longer a step takes for each request that is decoding, in ms. Nothing reads it. */
  stepPerRequest: Span,
  /** Prompt tokens read in a second. Nothing reads it. */
  readRate: z.number().positive(),
  /** Mean tokens of a prompt. */
  prompt: z.number().min(0),
  /** Mean tokens of an answer. Nothing reads it. */
  answer: z.number().min(0),
  /** Loads from the weight store that may begin in a second. `forming` keeps to it. */
  loadRate: z.number().positive(),
  /** Loads from the weight store that may run at a time without slowing each other. `forming` keeps to it. */
  loadsAtOnce: z.int().min(1),
  /** Time from an order to open a replica until it serves, in ms. Nothing reads it. */
  formTime: Span
})
export type Engine = z.infer<typeof Engine>

/** A service: a model service where it has an engine, else a plain one. */
export const Service = z.object({
  name: z.string(),
  /** Connections that one upstream accepts from all gateways together. Nothing reads it. */
  connections: z.int().min(1),
  engine: Engine.optional(),
  /** Requests a second that one cold upstream bears from all gateways together. Absent: upstreams are never cold. */
  coldRate: z.number().positive().optional(),
  /** How long an upstream that starts during traffic is cold. */
  coldTime: Span.optional()
})
export type Service = z.infer<typeof Service>

/** The owner of requests, known by its API keys. */
export const Team = z.object({
  name: z.string(),
  /** SHA-256 digests of the team's API keys, in lower-case hex. */
  keys: z.array(z.string()),
  /** Overrides the routes' priority. */
  priority: z.int().min(0).optional()
})
export type Team = z.infer<typeof Team>

/** Bounds on callers' requests. */
export const Limits = z.object({
  /** Longest request head, in bytes. */
  header: z.int().min(1),
  /** Longest request body, in bytes. */
  body: z.int().min(0),
  /** Longest time that a caller may take to send a request's head, in ms. */
  headerTime: Span,
  /** How long an idle connection is kept open, in ms. */
  idleTime: Span
})
export type Limits = z.infer<typeof Limits>

/** The whole configuration, as it is sent between gateways. Its revision only rises. */
export const Traffic = z.object({
  revision: z.int().min(0),
  routes: z.array(Route),
  services: z.array(Service),
  /** Absent: no request needs an API key. */
  teams: z.array(Team).optional(),
  limits: Limits
})
export type Traffic = z.infer<typeof Traffic>
