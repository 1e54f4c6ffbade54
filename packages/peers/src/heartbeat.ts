/**
 * A heartbeat between gateways: the inner type, and its datagram. This is the only place that knows the keys on the
 * wire. Gateways of two builds serve one site together during a restart, so keys are never renamed or dropped; new ones
 * must be optional.
 */
import { type CrashReport } from '@eiderwind/crashes'
import { type ColdReport, type LimitReport } from '@eiderwind/limits'
import { parseJson } from '@eiderwind/wire'
import { z } from 'zod'

/** The data centres that the operator has evacuated, all of them, as they stood at one of the store's revisions. */
export interface Evacuation {
  readonly revision: number
  readonly dataCentres: readonly string[]
}

/** What a gateway says of itself, several times a second. */
export interface Heartbeat {
  /** The sender. */
  readonly id: string
  /** Revision of the configuration in force at the sender; 0 where it has none yet. */
  readonly revision: number
  /** Whether the sender reaches the store and may plan replicas. */
  readonly canPlan: boolean
  /** Whether the sender could watch the store for others, although it may take the upstreams from another gateway now. Absent: no. */
  readonly canWatch?: boolean
  /** Its requests in flight, by upstream id. */
  readonly inFlight: Readonly<Record<string, number>>
  /** Ids of the upstreams that it suspects: heads that have stalled, and upstreams that took no connection. */
  readonly suspects: readonly string[]
  /** Requests by model: those that it has in flight, and what would be if nobody was refused for lack of room. */
  readonly offeredByModel: Readonly<Record<string, number>>
  /** Whether it has ever received a request from a caller. */
  readonly served: boolean
  /** Loads of weights that engines have begun by its orders: the model, by engine. None from builds that do not say. */
  readonly loads: Readonly<Record<string, string>>
  /** Time until its next regular heartbeat, in ms. Absent from builds that do not say. */
  readonly interval?: number
  /** Whether the receiver should answer with its own heartbeat at once: the sender has not heard it yet. Absent: no. */
  readonly asks?: boolean
  /** The services whose replicas it plans, each with the term for which it was elected. Absent where there are none, and from builds that do not say. */
  readonly terms?: Readonly<Record<string, number>>
  /** Upstreams that have crashed in the last second under requests of the sender, with the time since, in ms, and the fingerprints of those requests. */
  readonly crashes?: readonly CrashReport[]
  /** Fingerprints of requests that ran to their end in the last second although they were in crashes. */
  readonly cleared?: readonly string[]
  /** Requests suspected of crashing upstreams that the sender tries now: the fingerprint, by upstream. */
  readonly trials?: Readonly<Record<string, string>>
  /** Ids of the upstreams that said in an answer to the sender that they are leaving. Absent where there are none, and from builds that do not say. */
  readonly leaving?: readonly string[]
  /** Limits that upstreams named, or lifted, in answers to the sender lately, by upstream id. Absent where there are none, and from builds that do not say. */
  readonly limits?: Readonly<Record<string, LimitReport>>
  /** The data centres that are evacuated, as far as the sender knows. Absent where none was lately, and from builds that do not say. */
  readonly evacuation?: Evacuation
  /** Cold upstreams that the sender has read of lately or issues the tokens of, by id. Absent where there are none, and from builds that do not say. */
  readonly cold?: Readonly<Record<string, ColdReport>>
  /** The models at whose heads the sender has met a lack of room lately, as `places` names them. Absent where there are none, and from builds that do not say. */
  readonly contended?: readonly string[]
  /** The number of the last grant of a place that it got, by the gateway that gave it. Absent where there are none. */
  readonly grants?: Readonly<Record<string, number>>
  /** Whether the sender runs short and has the balancer send new callers to others. Absent: no. */
  readonly away?: boolean
  /** Digest of the requests that the sender has blocked. Absent where there are none. */
  readonly blocked?: string
}

/** The datagram: JSON with these keys. Unknown keys are dropped, so that a newer gateway may send more. */
const Datagram = z.object({
  id: z.string(),
  revision: z.int(),
  /** `canPlan`. */
  able: z.boolean(),
  /** `canWatch`. Absent where it is not so, and from builds that do not say. */
  watch: z.literal(true).optional(),
  /** `inFlight`. */
  loads: z.record(z.string(), z.int()),
  suspects: z.array(z.string()),
  /** `offeredByModel`. */
  models: z.record(z.string(), z.int()),
  served: z.boolean(),
  /** `loads` of the inner type; its name on the wire was taken. Absent where there are none. */
  weights: z.record(z.string(), z.string()).optional(),
  /** `interval`. */
  every: z.number().positive().optional(),
  /** `asks`. Absent where it is not so. */
  ask: z.literal(true).optional(),
  /** `terms`. Absent where there are none. */
  terms: z.record(z.string(), z.int()).optional(),
  /** `crashes`. Absent where there are none. */
  crashes: z.array(z.object({ upstream: z.string(), age: z.number().nonnegative(), requests: z.array(z.string()) })).optional(),
  /** `cleared`. Absent where there are none. */
  cleared: z.array(z.string()).optional(),
  /** `trials`. Absent where there are none. */
  trials: z.record(z.string(), z.string()).optional(),
  blocked: z.string().optional(),
  /** `leaving`. Absent where there are none. */
  leaving: z.array(z.string()).optional(),
  /** `limits`. Absent where there are none. */
  limits: z.record(z.string(), z.tuple([z.number().nonnegative().nullable(), z.number().nonnegative()])).optional(),
  /** `evacuation`. Absent where none was lately. */
  evacuation: z.object({ revision: z.int(), dataCentres: z.array(z.string()) }).optional(),
  /** `cold`. Absent where there are none. */
  cold: z.record(z.string(), z.tuple([z.number().positive(), z.number().nonnegative()])).optional(),
  /** `contended`. Absent where there are none. */
  contended: z.array(z.string()).optional(),
  /** `grants`. Absent where there are none. */
  grants: z.record(z.string(), z.int().nonnegative()).optional(),
  /** `away`. Absent where it is not so. */
  away: z.literal(true).optional()
})

/** The datagram of a heartbeat. */
export function encode ({ id, revision, canPlan, canWatch, inFlight, suspects, offeredByModel, served, loads, interval, asks, terms, crashes, cleared, trials, blocked, leaving, limits, evacuation, cold, contended, grants, away }: Heartbeat): string {
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
    ask: onlyTrue(asks),
    terms: unlessEmpty(terms),
    crashes: unlessEmpty(crashes),
    cleared: unlessEmpty(cleared),
    trials: unlessEmpty(trials),
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

/** A flag that is left out of the datagram where it is not set. */
function onlyTrue (flag: boolean | undefined): true | undefined {
  return flag === true ? true : undefined
}

/** A table or a list that is left out of the datagram where it is empty. */
function unlessEmpty<Value extends object> (value: Value | undefined): Value | undefined {
  return value === undefined || Object.keys(value).length === 0 ? undefined : value
}

/** The heartbeat in a datagram, or undefined where the datagram is not one. */
export function decode (message: Buffer): Heartbeat | undefined {
  const { data } = Datagram.safeParse(parseJson(message.toString()))
  if (data === undefined) return undefined
  const { id, revision, able: canPlan, watch: canWatch, loads: inFlight, suspects, models: offeredByModel, served, weights: loads = {}, every: interval, ask: asks, ...others } = data
  // All others have the same name on the wire, and may be absent.
  return { id, revision, canPlan, inFlight, suspects, offeredByModel, served, loads, ...defined({ canWatch, interval, asks, ...others }) }
}

/** The fields that a datagram has. */
function defined (fields: Partial<Heartbeat>): Partial<Heartbeat> {
  return Object.fromEntries(Object.entries(fields).filter(([_name, value]) => value !== undefined))
}
