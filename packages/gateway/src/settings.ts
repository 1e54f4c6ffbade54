/**
 * What a gateway is configured with, checked and derived from the operators' settings by the platform's adapter.
 * The INI names of what operators set are in `settings` (docs/operators/settings.md).
 */
import { type Clock } from '@eiderwind/clock'
import { type BacklogBounds } from '@eiderwind/forward'
import { type Log } from '@eiderwind/log'
import { type ColdBound } from './limiting.js'
import { type Platform } from './platform.js'
import { type ReadinessLimits } from './readiness.js'

/** What a gateway is made from. */
export interface GatewayOptions {
  readonly clock: Clock
  readonly log: Log
  readonly platform: Platform
  readonly settings: GatewaySettings
}

/** Settings of a gateway. Spans are in ms. */
export interface GatewaySettings {
  /** Id of this gateway among all, and the data centre it runs in. */
  readonly id: string
  readonly dataCentre: string
  /** Whether the whole system starts for the first time, so that no caller can have been served yet. */
  readonly first: boolean
  /** `host:port` for callers, for the balancer's health check, and for other gateways (TCP and UDP). */
  readonly callers: string
  readonly health: string
  readonly peers: string
  /** `host:port` that serves the metrics; empty: none are served. */
  readonly metrics: string
  /** How old the newest confirmation of the configuration may be for what needs a fresh one (`admission.ts`). */
  readonly freshness: number
  /** Whether requests with keys need a fresh confirmation. Without it they are served by what is known. */
  readonly strictKeys: boolean
  /** Retries per request of callers; `retrySlack` more are allowed to all gateways together in any `retryWindow`. */
  readonly retryRatio: number
  readonly retrySlack: number
  readonly retryWindow: number
  /** What a cold upstream may get; undefined where upstreams do not count as cold. */
  readonly coldBound: ColdBound | undefined
  /** Whether room is shared between teams, and what can still be in time goes first (`[room] fair`). */
  readonly fair: boolean
  /** Whether one gateway issues the places at a model's heads for all where they are scarce (`rooms.ts`). Absent: no. */
  readonly sharedRoom?: boolean
  /** How long all streams of a replica's head may be silent before it is suspected. */
  readonly silence: number
  /** Age of what another gateway says of the upstreams from which this one watches the store itself (`upstreamfeed.ts`). */
  readonly patience: number
  /** Time within which streams leave a data centre once this gateway knows that it is evacuated; undefined where evacuations are not looked for. */
  readonly evacuation: number | undefined
  /** Bounds on what is kept of answers that callers have not read (`[unread]`). */
  readonly unread: BacklogBounds
  /** What the process may use before the balancer is told to send new callers to others (`[readiness]`). */
  readonly readiness: ReadinessLimits
  /** Time between two heartbeats of an upstream at the platform. */
  readonly pulse: number
  /** How long an engine whose entry went, and that answers, is kept in its replica; 0: it counts as missing at once. */
  readonly keepUnlisted: number
  /** Whether spares load weights before a replica needs them (`forming/src/warming.ts`). */
  readonly warmSpares: boolean
  /** Times since the signal to stop: when the balancer has noticed, when new requests are refused, when the process ends. */
  readonly notice: number
  readonly refuseAfter: number
  readonly grace: number
}
