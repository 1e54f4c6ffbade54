/**
 * The dependencies that all requests of a gateway share while they are forwarded. The gateway creates one and passes it
 * to each path.
 */
import { type Clock, type Random } from '@eiderwind/clock'
import { type Crashes } from '@eiderwind/crashes'
import { type InFlight, type Suspects } from '@eiderwind/detect'
import { type Choice, type Availability, type OfferedLoad, type Queue, type RetryBudget } from '@eiderwind/dispatch'
import { type Log } from '@eiderwind/log'
import { type PlaceClient } from '@eiderwind/places'
import { type Roster, type Upstream } from '@eiderwind/roster'
import { type AnswerHeaders, type Connections } from '@eiderwind/wire'
import { type Forecast } from '@eiderwind/work'
import { type HeaderNames } from './names.js'
import { type CallerRequest } from './request.js'

/** Status and headers of an upstream's answer, without the body. */
export interface AnswerHead {
  readonly status: number
  readonly headers: AnswerHeaders
  /** Whether the upstream reports that the request did not run. */
  readonly refused: boolean
  /** When the request was sent, on `Clock.now`. */
  readonly sentAt: number
}

/** Decides whether requests may be sent by the list of upstreams that is known. */
export interface SendGate {
  /** Whether requests are held now. */
  readonly isClosed: boolean
  /** Resolves when requests may be sent. Undefined if they may be sent now. */
  readonly opened: Promise<void> | undefined
}

/** Dependencies of `PlainPath`, `StreamPath` and their attempts. */
export interface Context {
  readonly clock: Clock
  readonly log: Log
  /** The data centre of this gateway. */
  readonly dataCentre: string
  readonly names: HeaderNames
  readonly roster: Roster
  readonly connections: Connections
  readonly inFlight: InFlight
  readonly choice: Choice
  readonly suspects: Suspects
  readonly availability: Availability
  readonly crashes: Crashes
  readonly queue: Queue
  /** Counts the requests for a model that are refused for lack of room. Absent if the counts are not used. */
  readonly offered?: OfferedLoad
  /** Absent if first events are not forecast. */
  readonly forecast?: Forecast
  readonly random: Random
  /** Requests places where room is contended. Absent if each gateway searches for room alone. */
  readonly places?: PlaceClient
  /** The retry budget of a service. */
  readonly retryBudget: (service: string) => RetryBudget
  /**
   * Finds out whether an upstream that has just ended an answer with its connection still serves as it did when the
   * request was sent.
   */
  readonly serves: (upstream: Upstream) => Promise<boolean>
  /** Called when an upstream begins an answer that ends with its connection. Default: nothing. */
  readonly beganUnframed?: (upstream: Upstream) => void
  /** Absent if requests are never held. */
  readonly sendGate?: SendGate
  /** Called when a request is about to be written to an upstream. Default: nothing. */
  readonly written?: (request: CallerRequest) => void
  /** Called with the status and headers of each answer, which may describe the state of the upstream. */
  readonly answered: (upstream: Upstream, answer: AnswerHead) => void
}
