/**
 * A heartbeat between gateways: the type used inside the program, and its datagram. Only this module knows the keys on
 * the wire. Gateways of two builds serve one site together during a restart, so keys are never renamed or dropped, and
 * new keys must be optional.
 */
import { unnamedRequest, type CrashReport, type InterruptedRequest } from '@eiderwind/crashes'
import { type ColdReport, type LimitReport } from '@eiderwind/limits'
import { parseJson } from '@eiderwind/wire'
import { z } from 'zod'

/** All data centres that the operator has evacuated, at one revision of the store. */
export interface Evacuation {
  readonly revision: number
  readonly dataCentres: readonly string[]
}

/** The state that a gateway reports to its peers several times a second. */
export interface Heartbeat {
  /** The sender. */
  readonly id: string
  /** Revision of the configuration in force at the sender; 0 if it has none yet. */
  readonly revision: number
  /** Whether the sender can reach the store and may plan replicas. */
  readonly canPlan: boolean
  /**
   * Whether the sender could watch the store for others, even if it now gets the upstreams from another gateway.
   * Absent: no.
   */
  readonly canWatch?: boolean
  /** Its requests in flight, by upstream id. */
  readonly inFlight: Readonly<Record<string, number>>
  /** Ids of the upstreams that it suspects: heads that have stalled, and upstreams that accepted no connection. */
  readonly suspects: readonly string[]
  /** Requests by model: those in flight, and those that would be in flight if none were refused for lack of room. */
  readonly offeredByModel: Readonly<Record<string, number>>
  /** Whether it has ever received a request from a caller. */
  readonly served: boolean
  /**
   * Loads of weights that engines have begun by its orders: the model, by engine. Empty for builds that do not send it.
   */
  readonly loads: Readonly<Record<string, string>>
  /** Time until its next regular heartbeat, in ms. Absent for builds that do not send it. */
  readonly interval?: number
  /**
   * Whether the receiver should reply with its own heartbeat at once, since the sender has not received one yet.
   * Absent: no.
   */
  readonly wantsReply?: boolean
  /**
   * The services whose replicas it plans, with the term for which it was elected for each. Absent if there are none,
   * and for builds that do not send it.
   */
  readonly terms?: Readonly<Record<string, number>>
  /**
   * Upstreams that crashed in the last second under requests of the sender: the time since the crash, in ms, and those
   * requests.
   */
  readonly crashes?: readonly CrashReport[]
  /** Fingerprints of requests that completed in the last second although they had been in flight during crashes. */
  readonly cleared?: readonly string[]
  /**
   * Names of requests that were served in the last second although they had been in flight during crashes: the time
   * since then, in ms. Absent for builds that send `cleared` only.
   */
  readonly clearances?: Readonly<Record<string, number>>
  /** Requests suspected of crashing upstreams that the sender is trying now: the fingerprint, by upstream. */
  readonly trials?: Readonly<Record<string, string>>
  /** The names for which these are suspected, by upstream. Absent for builds that suspect whole requests only. */
  readonly trialNames?: Readonly<Record<string, readonly string[]>>
  /**
   * Ids of the upstreams that announced in an answer to the sender that they are leaving. Absent if there are none, and
   * for builds that do not send it.
   */
  readonly leaving?: readonly string[]
  /**
   * Limits that upstreams set or lifted lately in answers to the sender, by upstream id. Absent if there are none, and
   * for builds that do not send it.
   */
  readonly limits?: Readonly<Record<string, LimitReport>>
  /**
   * The evacuated data centres, as far as the sender knows. Absent if none was evacuated lately, and for builds that do
   * not send it.
   */
  readonly evacuation?: Evacuation
  /**
   * Cold upstreams, by id: those whose records the sender has read lately, and those whose tokens it issues. Absent if
   * there are none, and for builds that do not send it.
   */
  readonly cold?: Readonly<Record<string, ColdReport>>
  /**
   * The models at whose heads the sender has lately found no room, named as in `places`. Absent if there are none, and
   * for builds that do not send it.
   */
  readonly contended?: readonly string[]
  /**
   * The number of the last grant of a place that the sender received, by the granting gateway. Absent if there are
   * none.
   */
  readonly grants?: Readonly<Record<string, number>>
  /**
   * Whether the sender runs short of a resource and has the balancer send new callers to other gateways. Absent: no.
   */
  readonly away?: boolean
  /** Digest of the sender's blocks. Absent if there are none. */
  readonly blocked?: string
}

/** A crash. Builds that recognize whole requests only send and read their fingerprints, `requests`. */
const Crash = z.object({
  upstream: z.string(),
  age: z.number().nonnegative(),
  requests: z.array(z.string()),
  /** More about some of these requests, by fingerprint. */
  named: z.record(z.string(), z.object({ parts: z.array(z.string()), team: z.string().optional(), beginning: z.boolean(), trial: z.boolean() })).optional()
})

/** Upper bound on the length of a gateway's id, which others store and log. */
const maxIdLength = 256

/**
 * Upper bound on the time between two heartbeats, in ms. A gateway counts as live for a multiple of that time, so one
 * that has gone must not have announced centuries. A fleet of 9,600 gateways sends this seldom.
 */
const maxInterval = 60_000

/** A count. A negative one would draw all requests to the upstream or model. */
const Count = z.int().nonnegative()

/** The datagram: JSON with these keys. Unknown keys are dropped, so a newer gateway may send more. */
const Datagram = z.object({
  id: z.string().min(1).max(maxIdLength),
  revision: z.int(),
  /** `canPlan`. */
  able: z.boolean(),
  /** `canWatch`. Absent if false, and for builds that do not send it. */
  watch: z.literal(true).optional(),
  /** `inFlight`. */
  loads: z.record(z.string(), Count),
  suspects: z.array(z.string()),
  /** `offeredByModel`. */
  models: z.record(z.string(), Count),
  served: z.boolean(),
  /** `loads` of the inner type, whose name was taken on the wire. Absent if there are none. */
  weights: z.record(z.string(), z.string()).optional(),
  /** `interval`. */
  every: z.number().positive().max(maxInterval).optional(),
  /** `wantsReply`. Absent if false. */
  ask: z.literal(true).optional(),
  /** `terms`. Absent if there are none. */
  terms: z.record(z.string(), z.int()).optional(),
  /** `crashes`. Absent if there are none. */
  crashes: z.array(Crash).optional(),
  /** `cleared`. Absent if there are none. */
  cleared: z.array(z.string()).optional(),
  /** `trials`. Absent if there are none. */
  trials: z.record(z.string(), z.string()).optional(),
  /** `clearances`. Absent if there are none. */
  clearances: z.record(z.string(), z.number().nonnegative()).optional(),
  /** `trialNames`. Absent if there are none. */
  tried: z.record(z.string(), z.array(z.string())).optional(),
  blocked: z.string().optional(),
  /** `leaving`. Absent if there are none. */
  leaving: z.array(z.string()).optional(),
  /** `limits`. Absent if there are none. */
  limits: z.record(z.string(), z.tuple([z.number().nonnegative().nullable(), z.number().nonnegative()])).optional(),
  /** `evacuation`. Absent if none was evacuated lately. */
  evacuation: z.object({ revision: z.int(), dataCentres: z.array(z.string()) }).optional(),
  /** `cold`. Absent if there are none. */
  cold: z.record(z.string(), z.tuple([z.number().positive(), z.number().nonnegative()])).optional(),
  /** `contended`. Absent if there are none. */
  contended: z.array(z.string()).optional(),
  /** `grants`. Absent if there are none. */
  grants: z.record(z.string(), z.int().nonnegative()).optional(),
  /** `away`. Absent if false. */
  away: z.literal(true).optional()
})

/** Encodes a heartbeat as its datagram. */
export function encode ({ id, revision, canPlan, canWatch, inFlight, suspects, offeredByModel, served, loads, interval, wantsReply, terms, crashes, cleared, clearances, trials, trialNames, blocked, leaving, limits, evacuation, cold, contended, grants, away }: Heartbeat): string {
  return JSON.stringify({
    id,
    revision,
    able: canPlan,
    watch: onlyTrue(canWatch),
    loads: inFlight,
    suspects,
    models: offeredByModel,
    served,
    weights: unlessEmpty(loads),
    every: interval,
    ask: onlyTrue(wantsReply),
    terms: unlessEmpty(terms),
    crashes: unlessEmpty(crashes?.map(encodeCrash)),
    cleared: unlessEmpty(cleared),
    clearances: unlessEmpty(clearances),
    trials: unlessEmpty(trials),
    tried: unlessEmpty(trialNames),
    blocked,
    leaving: unlessEmpty(leaving),
    limits: unlessEmpty(limits),
    evacuation,
    cold: unlessEmpty(cold),
    contended: unlessEmpty(contended),
    grants: unlessEmpty(grants),
    away: onlyTrue(away)
  })
}

function encodeCrash ({ upstream, age, requests }: CrashReport): z.infer<typeof Crash> {
  const named = requests.filter(isNamed).map(({ request, parts, team, beginning, trial }) => [request, { parts: [...parts], team, beginning, trial }])
  return { upstream, age, requests: requests.map(each => each.request), named: unlessEmpty(Object.fromEntries(named)) }
}

/** Whether more than its fingerprint is known of a request. */
function isNamed ({ parts, beginning, trial }: InterruptedRequest): boolean {
  return parts.length > 0 || !beginning || trial
}

function decodeCrash ({ upstream, age, requests, named = {} }: z.infer<typeof Crash>): CrashReport {
  return { upstream, age, requests: requests.map(request => ({ ...unnamedRequest(request), ...named[request] })) }
}

/** Omits a flag from the datagram unless it is set. */
function onlyTrue (flag: boolean | undefined): true | undefined {
  return flag === true ? true : undefined
}

/** Omits a table or a list from the datagram if it is empty. */
function unlessEmpty<Value extends object> (value: Value | undefined): Value | undefined {
  return value === undefined || Object.keys(value).length === 0 ? undefined : value
}

/** Decodes a datagram. Undefined if it is not a heartbeat. */
export function decode (message: Buffer): Heartbeat | undefined {
  const { data } = Datagram.safeParse(parseJson(message.toString()))
  if (data === undefined) return undefined
  const { id, revision, able: canPlan, watch: canWatch, loads: inFlight, suspects, models: offeredByModel, served, weights: loads = {}, every: interval, ask: wantsReply, crashes, tried: trialNames, ...others } = data
  // All other fields have the same name on the wire, and may be absent.
  return { id, revision, canPlan, inFlight, suspects, offeredByModel, served, loads, ...defined({ canWatch, interval, wantsReply, crashes: crashes?.map(decodeCrash), trialNames, ...others }) }
}

/** The fields that are not undefined. */
function defined (fields: Partial<Heartbeat>): Partial<Heartbeat> {
  return Object.fromEntries(Object.entries(fields).filter(([_name, value]) => value !== undefined))
}
