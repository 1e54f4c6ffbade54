/** The place of a request among waiting requests. Pure; relies only on its inputs. */
import { type WaitingRequest } from '@eiderwind/fairness'
import { type CallerRequest } from './request.js'

/**
 * Shortest fixed `Retry-After` of a refusal, in ms (`otherGatewayRetryS` in `@eiderwind/dispatch`). A caller that
 * retries sooner did not wait as it was told.
 */
const minRetryDelayMs = 200

/** Inputs of `orderingInputs`. Times are on `Clock.now`, in ms. */
export interface OrderedRequest {
  readonly request: CallerRequest
  /** The cost of the request, in units of the mean request of its service. */
  readonly work: number
  /** The latest time to start its next attempt so that the answer is in time. */
  readonly latestStart: number
  /** The end of its wait. */
  readonly until: number
}

/** The inputs that determine the order of waiting requests. */
export function orderingInputs ({ request, work, latestStart, until }: OrderedRequest): WaitingRequest {
  const { priority, team, arrivedAt, spent, attempted } = request
  const early = spent > 0 && spent < minRetryDelayMs
  return { priority, team: team?.name ?? '', work, arrivedAt, inTimeUntil: attempted ? until : latestStart, until, again: spent > 0, early }
}
