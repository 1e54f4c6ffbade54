/**
 * Finds out whether an upstream still serves as it did when a request was sent to it. The end of an answer without a
 * length is the end of its connection, which is the same if the upstream ends, or if its replica is closed and its
 * requests are cut. Relies on the engine's own report, since the store's list may lag behind it.
 */
import { type Crashes } from '@eiderwind/crashes'
import { type Probes } from '@eiderwind/detect'
import { servesReplica, type Roster, type Upstream } from '@eiderwind/roster'

/** Dependencies of `isServing`. */
export interface ServingOptions {
  readonly crashes: Pick<Crashes, 'hasEnded'>
  readonly probes: Pick<Probes, 'report'>
  readonly roster: Pick<Roster, 'find'>
}

/**
 * Whether an upstream still serves.
 * @param upstream its record when the request was sent
 */
export async function isServing (upstream: Upstream, { crashes, probes, roster }: ServingOptions): Promise<boolean> {
  if (upstream.membership === undefined) return !await crashes.hasEnded(upstream)
  // A replica that closes as planned serves the requests that it has to their ends, and is closed right after the last.
  if (roster.find(upstream.id)?.membership?.state === 'closing') return !await crashes.hasEnded(upstream)
  const report = await probes.report(upstream)
  if (report !== undefined) return servesReplica(upstream, report)
  return servesReplica(upstream, roster.find(upstream.id)) && !await crashes.hasEnded(upstream)
}
