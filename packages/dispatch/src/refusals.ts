/**
 * The refusals that a gateway sends, with the value of `Retry-After` and its reason. `kinds` of `@eiderwind/fault` has
 * the status, the outcome and the default remedy of each code. A remedy is given here only if callers of a gateway need
 * a different one. `readBody` of `@eiderwind/wire` creates two more refusals: `too-large`, and `bad-request` for a
 * truncated body. Neither has a `Retry-After`.
 *
 * The values of `Retry-After` are chosen for callers that wait as long as it says if that is at most a third of their
 * remaining time, and then retry once on a new connection. Their deadlines are 1 to 1.5 s for plain requests and 6 to
 * 8 s for streams.
 */
import { Fault, kinds } from '@eiderwind/fault'

/**
 * `Retry-After` of `behind` and `leaving`, in seconds. Another gateway can usually serve the request at once, and the
 * new connection may reach it. A longer wait has no benefit.
 */
const otherGatewayRetryS = 0.2

/**
 * `Retry-After` of `upstream-down`, in seconds. A caller with a deadline of 1 s accepts at most 0.33 s. The value is
 * close to that, so that the upstreams get as much time as possible to accept connections again.
 */
const upstreamDownRetryS = 0.3

/**
 * `Retry-After` of `no-replica`, in seconds. A caller with a deadline of 6 s accepts at most 2 s. A replica that is
 * repaired with weights from host memory needs 1.8 s: 1.6 s to load and 0.2 s to join. If the weights come from the
 * weight store (12 to 16 s), the caller is refused again.
 */
const noReplicaRetryS = 1.8

/**
 * `Retry-After` of `busy`, in seconds. Some of the running requests have ended by then, and a caller with a deadline of
 * 6 s has more than 5 s left.
 */
const busyRetryS = 0.9

/**
 * Spread of `Retry-After` of `busy` if all upstreams rest or are limited, or if the shared queue is too long, in
 * seconds. Retries are spread over this time after room is expected, so that they do not all arrive at once.
 */
const retrySpreadS = 0.5

/** The refusals of a gateway. One without `retryAfter` here has the default of its code, if any. */
export const refusals = {
  /**
   * This gateway has no configuration yet, no list of upstreams yet, or no recent confirmation of its configuration.
   */
  behind (detail?: string): Fault {
    return new Fault('behind', { detail, retryAfter: otherGatewayRetryS, remedy: 'Send the request again; another gateway has the present configuration.' })
  },

  /** This gateway is shutting down. */
  leaving (): Fault {
    return new Fault('leaving', { retryAfter: otherGatewayRetryS })
  },

  headerTooLarge (): Fault {
    return new Fault('header-too-large')
  },

  badRequest (detail: string): Fault {
    return new Fault('bad-request', { detail })
  },

  unknownPath (): Fault {
    return new Fault('unknown-path', { detail: 'No route fits the host and path.', remedy: 'Use the host and the path of a route in the configuration.' })
  },

  /** The key is missing or unknown. @param keyHeader name of the header with the key */
  badKey (keyHeader: string): Fault {
    return new Fault('bad-key', { remedy: `Send the key of a team in the configuration in the header ${keyHeader}.` })
  },

  /** No upstream of a plain service took the request. */
  upstreamDown (detail: string): Fault {
    return new Fault('upstream-down', { detail, retryAfter: upstreamDownRetryS })
  },

  /**
   * No replica had room within the wait.
   * @param replicas number of replicas that serve the model; with none, a replica must be formed first, which takes
   *   longer
   */
  noRoom (replicas: number): Fault {
    if (replicas === 0) return new Fault('no-replica', { retryAfter: noReplicaRetryS })
    return new Fault('busy', { retryAfter: busyRetryS, remedy: 'Come back after the time given; all replicas that could serve this are full.' })
  },

  /**
   * All upstreams that could serve the request rest. The upstream whose rest ends first asked for that rest itself.
   * @param time until the first rest ends, in ms
   * @param random in [0, 1)
   */
  resting (time: number, random: number): Fault {
    return new Fault('busy', { retryAfter: spreadRetryAfter(time, random), remedy: 'Come back after the time given; all upstreams that could serve this refuse requests for now.' })
  },

  /**
   * All upstreams that could serve the request have limits, and no token comes within its wait.
   * @param time until the first token for the request, in ms; undefined if the gateway that owns the limit has not
   *   reported it
   * @param random in [0, 1)
   */
  limited (time: number | undefined, random: number): Fault {
    return new Fault('busy', { retryAfter: time === undefined ? busyRetryS : spreadRetryAfter(time, random), remedy: 'Come back after the time given; all upstreams that could serve this have reached their limits of requests per second.' })
  },

  /**
   * The queue shared by all gateways is too long for the request to be served within its wait.
   * @param time until the requests that wait now are served, in ms
   * @param random in [0, 1)
   */
  queued (time: number, random: number): Fault {
    return new Fault('busy', { retryAfter: spreadRetryAfter(time, random), remedy: 'Come back after the time given; more requests wait for the replicas that could serve this than they can serve in time.' })
  },

  /**
   * Each upstream that began to run the request has crashed, so the request is blocked. `Retry-After` is the whole time
   * of the block: an earlier retry would crash one more upstream.
   * @param time until the block ends, in ms
   */
  crashing (time: number): Fault {
    return new Fault('crashing', { retryAfter: Math.ceil(time / 1000) })
  },

  /**
   * The request may have run, and its answer is lost. No `Retry-After`: the caller must decide whether to send it
   * again.
   */
  lost (why: string): Fault {
    return new Fault('lost', { detail: `${why}.` })
  },

  /**
   * An error of this program ended the request.
   * @param mayHaveRun whether an upstream may have begun to run the request
   */
  internal (mayHaveRun: boolean): Fault {
    const detail = 'This gateway failed at the request.'
    if (mayHaveRun) return new Fault('internal', { detail })
    return new Fault('internal', { detail, outcome: 'not-run', remedy: 'Send the request again on a new connection. If it fails again, tell the operators its id.' })
  },

  /**
   * The deadline of the caller or the time limit of the route has passed. `Retry-After` is the default of the code,
   * 1 s.
   * @param mayHaveRun whether an upstream may have begun to run the request
   */
  deadline (mayHaveRun: boolean): Fault {
    if (mayHaveRun) return new Fault('deadline', { outcome: 'unknown', remedy: kinds.lost.remedy })
    return new Fault('deadline', { remedy: 'Give a later deadline, as far as the time limit of the route allows, or come back when there is less load.' })
  }
}

/**
 * `Retry-After` in seconds: `time` plus a random part of `retrySpreadS`.
 * @param time until room is expected, in ms
 */
function spreadRetryAfter (time: number, random: number): number {
  return Math.ceil(time + random * retrySpreadS * 1000) / 1000
}
