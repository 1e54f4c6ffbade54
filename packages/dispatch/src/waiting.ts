/**
 * How long a request waits in the queue for an upstream with room, before it is refused or answered with what came of
 * the attempts so far. Pure; relies only on its inputs. The queue itself is `Queue`.
 */

/**
 * Longest wait before the first attempt, as a share of the route's latency objective. A caller that waits so long still has
 * most of its objective left, and can retry early.
 */
const firstWaitShare = 0.22

/**
 * The same where one queue is kept for all gateways, as a share of the objective: whoever has no prospect there is refused at once, so one that waits is likely served, and
 * what is left of the objective is enough for its first event.
 */
const sharedWaitShare = 0.4

/**
 * Longest wait of a stream for its next upstream, in ms. Callers leave after 2,000 ms without an event, of which about 400 ms (setting `silence`) pass before a stall is noticed.
 */
const resumeWait = 1500

/** What the wait for room depends on. Times are in ms. */
export interface WaitInputs {
  readonly path: 'plain' | 'stream'
  /** Whether an attempt was started before. */
  readonly offered: boolean
  /** Upstreams that serve what is asked for, whether they have room or not. */
  readonly upstreams: number
  /** Time until the first of those that may be tried takes a request again; 0 where one of them does now, or it is not known. */
  readonly closed: number
  /** The route's latency objective. */
  readonly objective: number
  /** Time until the request's deadline. */
  readonly timeLeft: number
  /** Whether the request waits in a queue that is kept for all gateways. Absent: no. */
  readonly shared?: boolean
}

/**
 * Longest wait for an upstream with room, in ms. Where none serves what is asked for, room cannot appear in a wait as short as the
 * first one: the caller is refused at once and told when to come back. A plain request that was offered before does not wait: if no
 * other upstream has room now, its caller gets the result of the last attempts at once. Where none takes a request within that time, by its own word, there is nothing to wait for.
 */
export function waitForRoom (inputs: WaitInputs): number {
  const time = longestWait(inputs)
  return inputs.closed > time ? 0 : time
}

function longestWait ({ path, offered, upstreams, objective, timeLeft, shared = false }: WaitInputs): number {
  if (!offered) return upstreams === 0 ? 0 : Math.min((shared ? sharedWaitShare : firstWaitShare) * objective, timeLeft)
  return path === 'stream' ? Math.min(resumeWait, timeLeft) : 0
}
