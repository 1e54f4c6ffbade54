/** A request of this gateway that may need a place: what it needs, how far its search is, and what it should do next. */
import { type Waiting } from '@eiderwind/fairness'
import { type Room } from './room.js'

/** What a request needs. Times are on `Clock.now`, in ms. */
export interface Wish extends Waiting {
  readonly room: Room
  /** When it waits no longer if it looks for room alone. */
  readonly aloneUntil: number
  /** The time within which its caller should have an answer, in ms. */
  readonly objective: number
  /** The upstreams that it cannot be sent to. */
  readonly besides: () => readonly string[]
}

type State = 'none' | 'asking' | 'placed' | 'refused' | 'alone'

/** A request that may need a place. */
export class Claim {
  readonly wish: Wish
  state: State = 'none'
  /** The ask that is under way. */
  number = 0
  /** Where it has a place, by which grant of which gateway, and until when; which gateway refused it. */
  upstream = ''
  order = 0
  issuer: string | undefined
  until = 0
  /** When its caller should come back, once it is refused, in ms; 0: as after any refusal. */
  due = 0
  /** Asks whose place could not be used. */
  failed = 0

  constructor (wish: Wish) {
    this.wish = wish
  }
}

/** What a request should do: look for room by itself, wait, go to an upstream, or give up and come back in `due` ms (0: as after any refusal). */
export type Finding =
  | { readonly kind: 'alone' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'place', readonly upstream: string }
  | { readonly kind: 'refused', readonly due: number, readonly by: string }
