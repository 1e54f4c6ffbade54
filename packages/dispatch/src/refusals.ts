/**
 * Every refusal that a gateway itself answers, with its `Retry-After` and the reason for that number. Status, outcome and
 * the usual remedy of a code are in `kinds` of `@eiderwind/fault`; a remedy stands here where callers of a gateway need
 * another one. Two more refusals arise in `readBody` of `@eiderwind/wire` while the body is read: `too-large`, and
 * `bad-request` for a body that broke off; neither has a `Retry-After`.
 *
 * The numbers suit callers that heed `Retry-After` up to a third of the time that they have left, retry once, on a new
 * connection, and have deadlines of 1 to 1.5 s (plain requests) or 6 to 8 s (streams).
 */
import { Fault, kinds } from '@eiderwind/fault'

/**
 * After `behind` and `leaving`, in seconds. Another gateway can usually serve the request at once and the new connection
 * may reach it, so a longer wait would gain nothing.
 */
const otherGateway = 0.2

/**
 * After `upstream-down`, in seconds. Nearly the longest wait that a caller with a deadline of 1 s heeds (0.33 s): the
 * upstreams get as much time as possible to take connections again.
 */
const upstreamReturn = 0.3

/**
 * After `no-replica`, in seconds. Below the 2 s that a caller with a deadline of 6 s heeds, and as long as a replica needs
 * that is mended with weights from host memory (1.6 s and 0.2 s to join); where weights come from the weight store (12
 * to 16 s) the caller is refused again.
 */
const replicaMended = 1.8

/**
 * After `busy`, in seconds. Some of the requests that run now will have ended by then, and a caller with a deadline of 6 s has
 * over 5 s left.
 */
const roomFreed = 0.9

/**
 * After `busy` where no upstream takes a request by its own word: callers are spread over this time after the first does, in seconds, so that they do not all
 * come back in the moment in which one upstream takes requests again.
 */
const returnSpread = 0.5

/** The refusals of a gateway. Those without a `Retry-After` of their own have that of their kind, if any. */
export const refusals = {
  /** This gateway has no configuration yet, no list of upstreams yet, or no fresh confirmation of its configuration. */
  behind (detail?: string): Fault {
    return new Fault('behind', { detail, retryAfter: otherGateway, remedy: 'Send the request again; another gateway has the present configuration.' })
  },

  /** This gateway is about to end. */
  leaving (): Fault {
    return new Fault('leaving', { retryAfter: otherGateway })
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

  /** @param keyHeader the header that should hold the key */
  badKey (keyHeader: string): Fault {
    return new Fault('bad-key', { remedy: `Send the key of a team in the configuration in the header ${keyHeader}.` })
  },

  /** No upstream of a plain service took the request. */
  upstreamDown (detail: string): Fault {
    return new Fault('upstream-down', { detail, retryAfter: upstreamReturn })
  },

  /**
   * No replica had room in time.
   * @param replicas how many serve the model; with none, a replica has to be formed first, which takes longer
   */
  noRoom (replicas: number): Fault {
    if (replicas === 0) return new Fault('no-replica', { retryAfter: replicaMended })
    return new Fault('busy', { retryAfter: roomFreed, remedy: 'Come back after the time given; all replicas that could serve this are full.' })
  },

  /**
   * All upstreams that could serve it rest, and the first to end its rest has asked for it.
   * @param time until the first of them has rested, in ms
   * @param random in [0, 1)
   */
  resting (time: number, random: number): Fault {
    return new Fault('busy', { retryAfter: returnTime(time, random), remedy: 'Come back after the time given; all upstreams that could serve this turn requests away.' })
  },

  /**
   * All upstreams that could serve it name limits, and those are used up for longer than it may wait.
   * @param time until the first of them has a token for it, in ms; undefined where the gateway that issues it has not said
   * @param random in [0, 1)
   */
  limited (time: number | undefined, random: number): Fault {
    return new Fault('busy', { retryAfter: time === undefined ? roomFreed : returnTime(time, random), remedy: 'Come back after the time given; all upstreams that could serve this take only so many requests a second now.' })
  },

  /**
   * The queue for all gateways is so long that it would not be served in time.
   * @param time until those that wait now are served, in ms
   * @param random in [0, 1)
   */
  queued (time: number, random: number): Fault {
    return new Fault('busy', { retryAfter: returnTime(time, random), remedy: 'Come back after the time given; more requests wait for the replicas that could serve this than they can serve in time.' })
  },

  /**
   * Each upstream that began to run it has crashed. Its caller is refused for as long as it stays so: an earlier return would crash one more.
   * @param time for which it stays blocked, in ms
   */
  crashing (time: number): Fault {
    return new Fault('crashing', { retryAfter: Math.ceil(time / 1000) })
  },

  /** It may have run, and its answer is lost. No `Retry-After`: whether to send it again is for the caller to find out. */
  lost (why: string): Fault {
    return new Fault('lost', { detail: `${why}.` })
  },

  /**
   * The deadline of the caller or the time limit of the route has passed. `Retry-After` is that of the kind, 1 s.
   * @param offered whether an upstream may have begun to work on it
   */
  deadline (offered: boolean): Fault {
    if (offered) return new Fault('deadline', { outcome: 'unknown', remedy: kinds.lost.remedy })
    return new Fault('deadline', { remedy: 'Give a later deadline, as far as the time limit of the route allows, or come back when there is less load.' })
  }
}

/** `Retry-After` of callers that are spread after the time at which an upstream takes requests again, in seconds. @param time in ms */
function returnTime (time: number, random: number): number {
  return Math.ceil(time + random * returnSpread * 1000) / 1000
}
