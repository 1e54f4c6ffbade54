import { z } from 'zod'

const Span = z.number().min(0)

/** One of the services that a route's requests are split between. */
export const Share = z.object({ service: z.string(), weight: z.number().min(0) })
export type Share = z.infer<typeof Share>

/** Where requests of one host below one path prefix go, and what may be done with them. Spans are in ms. */
export const Route = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  prefix: z.string().startsWith('/').endsWith('/'),
  /** `repeatable`: may run more than once; `once`: may not; `stream`: a series of events, which runs once unless `resumable`. */
  kind: z.enum(['repeatable', 'once', 'stream']),
  resumable: z.boolean(),
  /** Longest time that a request may be held. */
  timeout: Span,
  /** Time within which an answer, or a stream's first event, is on time. */
  objective: Span,
  /** Longest pause between two events of a stream that is on time. */
  gap: Span,
  /** 0 is the most urgent. */
  priority: z.int().min(0),
  /** Most upstreams that one request may be sent to. */
  attempts: z.int().min(1),
  /** Whether requests need no key. */
  open: z.boolean(),
  shares: z.array(Share).min(1)
})
export type Route = z.infer<typeof Route>

/** A model that an engine can serve. */
export const Model = z.object({
  name: z.string(),
  /** Nodes in one of its replicas. */
  size: z.int().min(1),
  /** The part of the work that it is expected to get. */
  share: z.number().min(0),
  /** A factor on all times of its replicas. */
  pace: z.number().positive(),
  /** Time of a load from the weight store, and from the host's own memory, in ms. */
  load: Span,
  warm: Span
})
export type Model = z.infer<typeof Model>

/** How the engines of a model service work. Times are in ms. */
export const Engine = z.object({
  /** Requests that a replica runs at once. */
  slots: z.int().min(1),
  models: z.array(Model).min(1),
  /** Time of a step, and how much longer it takes for each request that writes. */
  step: Span,
  stepPerRequest: Span,
  /** Prompt tokens that are read in a second. */
  readRate: z.number().positive(),
  /** Mean tokens of a prompt and of an answer. */
  prompt: z.number().min(0),
  answer: z.number().min(0),
  /** Loads from the weight store that may begin in a second, and that may go on at a time without slowing each other. */
  loadRate: z.number().positive(),
  loadsAtOnce: z.int().min(1),
  /** Time until a replica that was told to open serves. */
  formTime: Span
})
export type Engine = z.infer<typeof Engine>

/** A service: plain, or a model service where it has an engine. */
export const Service = z.object({
  name: z.string(),
  /** Connections that one upstream takes from all callers together. */
  connections: z.int().min(1),
  engine: Engine.optional()
})
export type Service = z.infer<typeof Service>

/** Whose requests these are. */
export const Team = z.object({
  name: z.string(),
  /** SHA-256 digests of the team's API keys, in hex. */
  keys: z.array(z.string()),
  /** Goes before the routes' priority where it is given. */
  priority: z.int().min(0).optional()
})
export type Team = z.infer<typeof Team>

/** What a caller may send, and how long it may take. Sizes are in bytes, spans in ms. */
export const Limits = z.object({ header: z.int().min(1), body: z.int().min(0), headerTime: Span, idleTime: Span })
export type Limits = z.infer<typeof Limits>

/** The whole configuration of direct traffic. Its revision only rises. */
export const Traffic = z.object({
  revision: z.int().min(0),
  routes: z.array(Route),
  services: z.array(Service),
  /** None: no request needs a key. */
  teams: z.array(Team).optional(),
  limits: Limits
})
export type Traffic = z.infer<typeof Traffic>
