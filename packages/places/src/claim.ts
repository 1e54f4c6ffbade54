/**
 * A request of this gateway that may need a place: its requirements, the state of its search, and what it should do
 * next.
 */
import { type WaitingRequest } from '@eiderwind/fairness'
import { type Room } from './room.js'

/** What a request needs. Times are on `Clock.now`, in ms. */
export interface PlaceRequirements extends WaitingRequest {
  readonly room: Room
  /** When the request stops waiting if it searches for room alone. */
  readonly aloneUntil: number
  /** The time within which the caller should have an answer, in ms. */
  readonly objective: number
  /** The upstreams that the request cannot be sent to. */
  readonly besides: () => readonly string[]
}

type State = 'none' | 'asking' | 'placed' | 'refused' | 'alone'

/** A request that may need a place. */
export class Claim {
  readonly requirements: PlaceRequirements
  state: State = 'none'
  /** The number of the pending place request. */
  number = 0
  /**
   * The upstream of the place, the grant's number, the gateway that granted or refused it, and when the place
   * expires.
   */
  upstream = ''
  order = 0
  issuer: string | undefined
  until = 0
  /** When the caller of a refused request should retry, in ms; 0 for the delay of any other refusal. */
  due = 0
  /** Places that could not be used. */
  unusedPlaces = 0

  constructor (requirements: PlaceRequirements) {
    this.requirements = requirements
  }
}

/**
 * What a request should do: search for room alone, wait, go to an upstream, or be refused. A refused caller should
 * retry after `due` ms; 0 stands for the delay of any other refusal.
 */
export type PlaceDecision =
  | { readonly kind: 'alone' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'place', readonly upstream: string }
  | { readonly kind: 'refused', readonly due: number, readonly by: string }
