/** The requests that gateways send to the issuer of a room's places, and its replies. */
import { type WaitingRequest } from '@eiderwind/fairness'

/** A request that waits for a place, as its gateway describes it. Times are on `Clock.now`, in ms. */
export interface PlaceRequest extends WaitingRequest {
  /** Where the reply goes: the id of a gateway, or `localSender`. */
  readonly from: string
  /** Identifies the request to its sender. */
  readonly number: number
  /**
   * When the request is reviewed: it is refused then unless it is expected to be served in time. If absent, the request
   * waits until `until`.
   */
  readonly reviewAt?: number
  /** Upstreams that the request must not be sent to. */
  readonly excluded: readonly string[]
  /** The data centre of the gateway that sends the request. */
  readonly near: string
}

/** The value of `PlaceRequest.from` for requests of this gateway. */
export const localSender = ''

/** The reply to a place request. `messages.ts` describes the kinds. */
export type Reply =
  | { readonly place: 'wait', readonly number: number }
  | { readonly place: 'grant', readonly number: number, readonly upstream: string, readonly order: number }
  | { readonly place: 'later', readonly number: number, readonly due: number }

/** What a gateway reports about one upstream. */
export interface CountUpdate {
  readonly upstream: string
  /** Requests in flight there from the reporting gateway. */
  readonly count: number
  /** The last grant that this count may include. */
  readonly seen: number
  /** How long the reporting gateway excludes the upstream, in ms. */
  readonly shut?: number | undefined
}

/** How long a gateway may hold a place before it sends its request there, in ms. */
export const placeLifetime = 100
