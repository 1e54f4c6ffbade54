/** What all requests of a gateway share while they are forwarded. The gateway makes one and passes it to each path. */
import { type Clock, type Random } from '@eiderwind/clock'
import { type Crashes } from '@eiderwind/crashes'
import { type InFlight, type Suspects } from '@eiderwind/detect'
import { type Choice, type Intake, type OfferedLoad, type Queue, type RetryBudget } from '@eiderwind/dispatch'
import { type Log } from '@eiderwind/log'
import { type Asker } from '@eiderwind/places'
import { type Roster, type Upstream } from '@eiderwind/roster'
import { type AnswerHeaders, type Connections } from '@eiderwind/wire'
import { type Forecast } from '@eiderwind/work'
import { type HeaderNames } from './names.js'

/** The head of an upstream's answer to a request. */
export interface AnswerHead {
  readonly status: number
  readonly headers: AnswerHeaders
  /** Whether it says that the request was not run. */
  readonly refused: boolean
  /** When the request was sent, on `Clock.now`. */
  readonly sentAt: number
}

/** Dependencies of `PlainPath`, `StreamPath` and their attempts. */
export interface Context {
  readonly clock: Clock
  readonly log: Log
  /** Where this gateway is. */
  readonly dataCentre: string
  readonly names: HeaderNames
  readonly roster: Roster
  readonly connections: Connections
  readonly inFlight: InFlight
  readonly choice: Choice
  readonly suspects: Suspects
  readonly intake: Intake
  readonly crashes: Crashes
  readonly queue: Queue
  /** Counts callers of a model that are refused for lack of room. Absent: nobody asks for it. */
  readonly offered?: OfferedLoad
  /** Absent: no first event is predicted. */
  readonly forecast?: Forecast
  readonly random: Random
  /** Asks for places where room is contended. Absent where each gateway looks for room alone. */
  readonly places?: Asker
  /** The retry budget of a service. */
  readonly retryBudget: (service: string) => RetryBudget
  /** Takes what the head of an upstream's answer says of the upstream itself. */
  readonly answered: (upstream: Upstream, answer: AnswerHead) => void
}
