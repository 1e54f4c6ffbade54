/**
 * Decides how long a request waits in the queue for an upstream with room. After that it is refused, or answered with
 * the result of the earlier attempts. Pure; relies only on its inputs. The queue itself is `Queue`.
 */

/**
 * Maximum wait before the first attempt, as a share of the route's latency objective. After this wait the caller still
 * has most of its objective left, and can retry early.
 */
const firstWaitShare = 0.22

/**
 * Maximum wait before the first attempt if all gateways share one queue, as a share of the route's latency objective.
 * That queue refuses a request at once if it could not be served in time. A waiting request is therefore likely to be
 * served. The remaining part of the objective is enough for its first event.
 */
const sharedWaitShare = 0.4

/**
 * Maximum wait of a stream for its next upstream, in ms. Callers leave after 2,000 ms without an event. About 400 ms of
 * these (`GatewaySettings.maxSilence`) pass before a stall is detected.
 */
const maxResumeWaitMs = 1500

/** Inputs of `waitForRoom`. Times are in ms. */
export interface WaitInputs {
  readonly path: 'plain' | 'stream'
  /** Whether an attempt was started before. */
  readonly attempted: boolean
  /** Number of upstreams that serve the service or model, including full ones. */
  readonly upstreams: number
  /**
   * Time until the first of the eligible upstreams takes requests again. 0 if one takes requests now, or if unknown.
   */
  readonly timeUntilAvailable: number
  /** The route's latency objective. */
  readonly objective: number
  /** Time until the request's deadline. */
  readonly timeLeft: number
  /** Whether the request waits in the queue shared by all gateways. Absent: no. */
  readonly shared?: boolean
}

/**
 * Maximum wait for an upstream with room, in ms. It is 0 in three cases:
 * - The request was not sent before, and no upstream serves the service or model. No upstream can appear within the
 *   short first wait, so the caller is refused at once with a `Retry-After`.
 * - A plain request was sent before. If no other upstream has room now, its caller gets the result of the attempts at
 *   once.
 * - All upstreams rest or are limited for longer than the wait.
 */
export function waitForRoom (inputs: WaitInputs): number {
  const wait = maxWait(inputs)
  return inputs.timeUntilAvailable > wait ? 0 : wait
}

function maxWait ({ path, attempted, upstreams, objective, timeLeft, shared = false }: WaitInputs): number {
  if (!attempted) return upstreams === 0 ? 0 : Math.min((shared ? sharedWaitShare : firstWaitShare) * objective, timeLeft)
  return path === 'stream' ? Math.min(maxResumeWaitMs, timeLeft) : 0
}
