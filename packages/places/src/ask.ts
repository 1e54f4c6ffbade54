/** What gateways ask of the one that issues the places of a room, and what it answers. */
import { type Waiting } from '@eiderwind/fairness'

/** A request that waits for a place, as its gateway tells it. Times are on `Clock.now`, in ms. */
export interface Ask extends Waiting {
  /** Whom to answer: the id of a gateway, or `ownAsk`. */
  readonly from: string
  /** By which the asker knows it again. */
  readonly number: number
  /** When it is refused unless it would be served in time. Absent: it waits to its end whatever its prospect. */
  readonly reviewAt?: number
  /** Upstreams that it must not be sent to. */
  readonly besides: readonly string[]
  /** The data centre from which it is sent. */
  readonly near: string
}

/** `Ask.from` where the ask is this gateway's own. */
export const ownAsk = ''

/** What becomes of an ask. */
export type Reply =
  | { readonly place: 'wait', readonly number: number }
  | { readonly place: 'grant', readonly number: number, readonly upstream: string, readonly order: number }
  | { readonly place: 'later', readonly number: number, readonly due: number }

/** What a gateway says of one upstream. */
export interface Word {
  readonly upstream: string
  /** Its requests in flight there. */
  readonly count: number
  /** The last grant that this count may show. */
  readonly seen: number
  /** For how long it leaves the upstream out, in ms. */
  readonly shut?: number | undefined
}

/** How long an asker may keep a place before it sends its request there, in ms. */
export const useTime = 100
