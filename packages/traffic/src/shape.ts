/**
 * The configuration by which a gateway serves callers: routes, services, teams, limits. The code in `platform`
 * translates the operator's configuration into this form. **A gateway sends it as JSON to a peer that has an older
 * one** (`Traffic` in the answer to `GET /confirmation`). Field names here are therefore names on the wire, and
 * platform/test/bytes.test.ts checks them. Never rename, drop or retype a field, and make new fields optional, because
 * gateways of two builds serve one site together during a restart. Fields that no code reads are marked and stay for
 * the same reason.
 */
import { z } from 'zod'

/**
 * The longest time that a timer of Node.js can wait, in ms: 24.8 days. A timer for a longer one ends at once, so a longer
 * time counts as this one.
 */
const maxTimerDelay = 2 ** 31 - 1

/** A time, in ms. */
const Milliseconds = z.number().min(0).transform(time => Math.min(time, maxTimerDelay))

/** One of the services between which the requests of a route are split, with its weight in the split. */
export const Share = z.object({ service: z.string(), weight: z.number().min(0) })
export type Share = z.infer<typeof Share>

/** A route: the services for requests of one host and path prefix, and how they are handled. Times are in ms. */
export const Route = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  prefix: z.string().startsWith('/').endsWith('/'),
  /**
   * `repeatable`: a request may run more than once. `once`: it may not. `stream`: the answer is a series of events, and
   * the request runs once unless `resumable` is set.
   */
  kind: z.enum(['repeatable', 'once', 'stream']),
  /** Whether another replica may continue a stream after the last event that was sent to the caller. */
  resumable: z.boolean(),
  /** Maximum time for a request: its deadline, unless the caller sends a shorter one. */
  timeout: Milliseconds,
  /** Time in which an answer, or a stream's first event, is on time. Admission derives the maximum wait from it. */
  objective: Milliseconds,
  /** Maximum pause between two events of a stream that is on time. No code reads it. */
  gap: Milliseconds,
  /** Priority of the requests; 0 is the most urgent. */
  priority: z.int().min(0),
  /** Maximum number of upstreams to which one request may be sent. */
  attempts: z.int().min(1),
  /** Whether requests are accepted without an API key. */
  open: z.boolean(),
  shares: z.array(Share).min(1)
})
export type Route = z.infer<typeof Route>

/** A model that an engine can serve. */
export const Model = z.object({
  name: z.string(),
  /** Number of engines in a replica. */
  size: z.int().min(1),
  /** Expected share of the work. `forming` plans with it and with `pace` until demand has been measured. */
  share: z.number().min(0),
  /** Factor on all times of its replicas. */
  pace: z.number().positive(),
  /** Time to load the model from the weight store, in ms. `forming` paces its orders to load with it. */
  load: Milliseconds,
  /** Time to load the model from the host's memory, in ms. No code reads it. */
  warm: Milliseconds
})
export type Model = z.infer<typeof Model>

/** Parameters of the engines of a model service. */
export const Engine = z.object({
  /** Number of requests that a replica runs concurrently. `dispatch` limits admission to it. */
  slots: z.int().min(1),
  models: z.array(Model).min(1),
  /** Time of one decoding step, in ms. No code reads it. */
  step: Milliseconds,
  /** Additional time of a step for each request that is decoding, in ms. No code reads it. */
  stepPerRequest: Milliseconds,
  /** Prompt tokens processed per second. No code reads it. */
  readRate: z.number().positive(),
  /** Mean number of tokens of a prompt. */
  prompt: z.number().min(0),
  /** Mean number of tokens of an answer. No code reads it. */
  answer: z.number().min(0),
  /** Maximum number of loads from the weight store that may begin per second. `forming` obeys it. */
  loadRate: z.number().positive(),
  /** Number of loads from the weight store that can run concurrently without slowing each other. `forming` obeys it. */
  loadsAtOnce: z.int().min(1),
  /** Time from the order to open a replica until the replica serves, in ms. No code reads it. */
  formTime: Milliseconds
})
export type Engine = z.infer<typeof Engine>

/** A service. It is a model service if it has `engine`, else a plain service. */
export const Service = z.object({
  name: z.string(),
  /** Number of connections that one upstream accepts from all gateways together. No code reads it. */
  connections: z.int().min(1),
  engine: Engine.optional(),
  /** Requests per second that a cold upstream can take from all gateways together. Absent: upstreams are never cold. */
  coldRate: z.number().positive().optional(),
  /** How long an upstream that starts during traffic is cold, in ms. */
  coldTime: Milliseconds.optional()
})
export type Service = z.infer<typeof Service>

/** The owner of requests, identified by its API keys. */
export const Team = z.object({
  name: z.string(),
  /** SHA-256 digests of the team's API keys, in lower-case hex. */
  keys: z.array(z.string()),
  /** Overrides the routes' priority. */
  priority: z.int().min(0).optional()
})
export type Team = z.infer<typeof Team>

/** Limits on requests and connections of callers. */
export const Limits = z.object({
  /** Maximum size of a request head, in bytes. */
  header: z.int().min(1),
  /** Maximum size of a request body, in bytes. */
  body: z.int().min(0),
  /** Maximum time in which a caller must send the head of a request, in ms. */
  headerTime: Milliseconds,
  /** How long an idle connection is kept open, in ms. */
  idleTime: Milliseconds
})
export type Limits = z.infer<typeof Limits>

/** The complete configuration, as it is sent between gateways. Its revision only increases. */
export const Traffic = z.object({
  revision: z.int().min(0),
  routes: z.array(Route),
  services: z.array(Service),
  /** Absent: no request needs an API key. */
  teams: z.array(Team).optional(),
  limits: Limits
})
export type Traffic = z.infer<typeof Traffic>
