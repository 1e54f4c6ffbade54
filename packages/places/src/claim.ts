/**
 * A request of this gateway that may need a place: its requirements, the state of its search, and what it should do
 * next.
 */
import { type WaitingRequest } from '@eiderwind/fairness'
import { type Room } from './room.js'

/** What a request needs. Times are on `Clock.now`, in ms. */
export interface PlaceRequirements extends WaitingRequest {
  readonly room: Room
  /** When the request stops waiting if it searches for room alone, that is, without the shared queue. */
  readonly aloneUntil: number
  /** The time within which the caller should have an answer, in ms. */
  readonly objective: number
  /** The upstreams that the request cannot be sent to. */
  readonly excluded: () => readonly string[]
}

/**
 * `none`: no place is requested or held. `asking`: a place request is pending. `placed`: the request holds a place.
 * `refused`: the issuer refused it. `alone`: it searches without the shared queue, or no longer searches.
 */
type State = 'none' | 'asking' | 'placed' | 'refused' | 'alone'

/** A request that may need a place. */
export class Claim {
  readonly requirements: PlaceRequirements
  state: State = 'none'
  /** The number of the pending place request. */
  number = 0
  /**
   * The upstream of the place, the number of the grant, the gateway that granted or refused the place (undefined: this
   * gateway), and when the place expires.
   */
  upstream = ''
  order = 0
  issuer: string | undefined
  until = 0
  /** The time after which the caller of a refused request should retry, in ms; 0 for the usual `Retry-After`. */
  due = 0
  /** Places that could not be used. */
  unusedPlaces = 0

  constructor (requirements: PlaceRequirements) {
    this.requirements = requirements
  }
}

/**
 * What a request should do: search for room alone, wait, go to an upstream, or be refused. A refused caller should
 * retry after `due` ms; 0 stands for the usual `Retry-After`. `by`: the gateway that refused.
 */
export type PlaceDecision =
  | { readonly kind: 'alone' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'place', readonly upstream: string }
  | { readonly kind: 'refused', readonly due: number, readonly by: string }
