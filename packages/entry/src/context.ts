/**
 * The dependencies that all requests of an entry share: those of its request paths and of its attempts. An entry
 * creates one context when it starts.
 */
import { type Clock } from '@eiderwind/clock'
import { type CurrentConfiguration } from '@eiderwind/config'
import { type Log, type Metric } from '@eiderwind/log'
import { type Affinity, type BalancedPolicy, type RetryBudget } from '@eiderwind/route'
import { type Clients, type Connections } from '@eiderwind/wire'
import { type AttemptsInFlight } from './inflight.js'
import { type Targets } from './targets.js'

/** Dependencies of the request paths. */
export interface Context {
  readonly clock: Clock
  readonly current: CurrentConfiguration
  readonly targets: Targets
  readonly inFlight: AttemptsInFlight
  readonly policy: BalancedPolicy
  readonly affinity: Affinity
  readonly budget: RetryBudget
  readonly clients: Clients
  /** Connections to workers. */
  readonly connections: Connections
  readonly log: Log
  readonly metric: Metric
}
