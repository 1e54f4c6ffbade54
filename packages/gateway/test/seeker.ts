/** A request that looks for room, of no team and in no hurry. */
import { type Seeker } from '@eiderwind/dispatch'

/** @param until when it waits no longer, on `Clock.now` */
export function seeker (now: number, until: number): Seeker {
  return { room: 's', offered: false, priority: 1, team: '', work: 1, arrivedAt: now, inTimeUntil: Infinity, until }
}
