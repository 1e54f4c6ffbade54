/** A waiting request without a team and without a time objective. */
import { type QueuedRequest } from '@eiderwind/dispatch'

/** @param until time at which the request stops waiting, on `Clock.now` */
export function queuedRequest (now: number, until: number): QueuedRequest {
  return { room: 's', attempted: false, priority: 1, team: '', work: 1, arrivedAt: now, inTimeUntil: Infinity, until }
}
