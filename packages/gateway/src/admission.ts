/**
 * Decides whether a request is admitted, by the configuration in force when it arrived. The function is pure. The order
 * of its checks is part of the behaviour: the first check that fails determines the refusal. The status, remedy and
 * Retry-After of each refusal are defined in `dispatch`.
 */
import { refusals } from '@eiderwind/dispatch'
import { type Fault } from '@eiderwind/fault'
import { type Route, type Team } from '@eiderwind/traffic'
import { type ConfigurationInForce } from './facts.js'

/** The properties of a request that admission reads. */
export interface ArrivedRequest {
  /** Its Host header, and its target: a path, optionally with a query. */
  readonly host: string
  readonly target: string
  /** Size of its header section, in bytes. */
  readonly headSize: number
  /** The API key that it carries; empty if there is none. */
  readonly key: string
}

/** The state of the gateway on which admission depends. */
export interface AdmissionState {
  readonly inForce: ConfigurationInForce | undefined
  /** Whether a list of upstreams was ever read. */
  readonly listed: boolean
  /**
   * Whether the confirmation of the configuration is recent enough to conclude that a missing route or key does not
   * exist.
   */
  readonly fresh: boolean
  /** Whether a known key needs a recent confirmation too. */
  readonly strictKeys: boolean
  /** Whether the gateway is about to stop and refuses new requests. */
  readonly refusing: boolean
  /** Name of the header that holds the key, for the remedy. */
  readonly keyHeader: string
}

/** The result for an admitted request. */
export interface Admission {
  readonly route: Route
  /** Undefined if the route needs no key. */
  readonly team: Team | undefined
}

/** Admits a request, or returns the fault with which to refuse it. */
export function admit ({ host, target, headSize, key }: ArrivedRequest, { inForce, listed, fresh, strictKeys, refusing, keyHeader }: AdmissionState): Admission | Fault {
  if (inForce === undefined || !listed) return refusals.behind()
  if (refusing) return refusals.leaving()
  if (headSize > inForce.traffic.limits.header) return refusals.headerTooLarge()
  const route = inForce.routes.find(host, target)
  if (route === undefined) {
    // Without a recent confirmation, the route may have been added meanwhile.
    return fresh ? refusals.unknownPath() : refusals.behind()
  }
  if (route.open || inForce.teams === undefined) return { route, team: undefined }
  const team = inForce.teams.find(key)
  if (!fresh && (strictKeys || team === undefined)) return refusals.behind('The configuration was not confirmed recently, so this key cannot be checked.')
  return team === undefined ? refusals.badKey(keyHeader) : { route, team }
}
