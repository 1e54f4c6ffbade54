/**
 * Decides whether a request is admitted, by the configuration that was in force when it arrived. Pure:
 * the order of the checks is part of the behaviour, since the first that fails names the refusal. Which status, remedy
 * and Retry-After each refusal has is in `dispatch`.
 */
import { refusals } from '@eiderwind/dispatch'
import { type Fault } from '@eiderwind/fault'
import { type Route, type Team } from '@eiderwind/traffic'
import { type InForce } from './facts.js'

/** What a request says of itself. */
export interface Arrival {
  /** Its Host header, and its target: a path, with or without a query. */
  readonly host: string
  readonly target: string
  /** Size of its head, in bytes. */
  readonly headSize: number
  /** The API key that it shows; empty where it shows none. */
  readonly key: string
}

/** What the gateway knows when it decides. */
export interface AdmissionFacts {
  readonly inForce: InForce | undefined
  /** Whether the list of upstreams was ever read. */
  readonly listed: boolean
  /** Whether the configuration was confirmed lately enough to trust that a route or a key is not in it. */
  readonly fresh: boolean
  /** Whether it also has to be that fresh for a key that is in it. */
  readonly strictKeys: boolean
  /** Whether the gateway ends soon and takes nothing new. */
  readonly refusing: boolean
  /** The header that holds a key, for the remedy. */
  readonly keyHeader: string
}

/** What an admitted request may do. */
export interface Admission {
  readonly route: Route
  /** Undefined where the route needs no key. */
  readonly team: Team | undefined
}

/** Admits a request, or gives the fault to refuse it with. */
export function admit ({ host, target, headSize, key }: Arrival, { inForce, listed, fresh, strictKeys, refusing, keyHeader }: AdmissionFacts): Admission | Fault {
  if (inForce === undefined || !listed) return refusals.behind()
  if (refusing) return refusals.leaving()
  if (headSize > inForce.traffic.limits.header) return refusals.headerTooLarge()
  const route = inForce.routes.find(host, target)
  if (route === undefined) {
    // Without a fresh confirmation the route may have been added meanwhile.
    return fresh ? refusals.unknownPath() : refusals.behind()
  }
  if (route.open || inForce.teams === undefined) return { route, team: undefined }
  const team = inForce.teams.find(key)
  if (!fresh && (strictKeys || team === undefined)) return refusals.behind('The configuration was not confirmed lately, so this key cannot be judged.')
  return team === undefined ? refusals.badKey(keyHeader) : { route, team }
}
