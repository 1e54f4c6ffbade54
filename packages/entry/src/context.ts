/**
 * What all requests of an entry share on their way: the dependencies of its paths and attempts. Made once, when the entry
 * starts.
 */
import { type Dispatcher } from 'undici'
import { type Clock } from '@eiderwind/clock'
import { type Current } from '@eiderwind/config'
import { type Log, type Metric } from '@eiderwind/log'
import { type Affinity, type Balanced, type Budget } from '@eiderwind/route'
import { type Clients } from '@eiderwind/wire'
import { type AttemptsInFlight } from './inflight.js'
import { type Targets } from './targets.js'

/** What the path of a request through an entry stands on. */
export interface Context {
  readonly clock: Clock
  readonly current: Current
  readonly targets: Targets
  readonly inFlight: AttemptsInFlight
  readonly policy: Balanced
  readonly affinity: Affinity
  readonly budget: Budget
  readonly clients: Clients
  /** Connections to workers. */
  readonly dispatcher: Dispatcher
  readonly log: Log
  readonly metric: Metric
}
