/**
 * The settings of a gateway. The platform's adapter checks them and derives them from the operators' settings. Their
 * INI names are in `settings` (docs/operators/settings.md).
 */
import { type Clock } from '@eiderwind/clock'
import { type BacklogBounds } from '@eiderwind/forward'
import { type TaskFailures } from '@eiderwind/life'
import { type Log } from '@eiderwind/log'
import { type ColdBound } from './upstreamlimits.js'
import { type Platform } from './platform.js'
import { type ReadinessLimits } from './readiness.js'

/** The inputs from which a gateway is created. */
export interface GatewayOptions {
  readonly clock: Clock
  readonly log: Log
  /** Contains errors of this program. The clock reports to it too. */
  readonly failures: TaskFailures
  readonly platform: Platform
  readonly settings: GatewaySettings
}

/** Settings of a gateway. Times are in ms. */
export interface GatewaySettings {
  /** Unique id of this gateway, and the data centre in which it runs. */
  readonly id: string
  readonly dataCentre: string
  /** Whether the whole system starts for the first time, so that no caller can have been served yet. */
  readonly isFirstStart: boolean
  /** `host:port` for callers, for the balancer's health check, and for other gateways (TCP and UDP). */
  readonly callers: string
  readonly health: string
  readonly peers: string
  /** `host:port` that serves the metrics. If empty, no metrics are served. */
  readonly metrics: string
  /** Maximum age of the newest confirmation where a recent one is needed (`admission.ts`). */
  readonly maxConfirmationAge: number
  /**
   * Whether requests with known keys need a recent confirmation. If not, they are served by the known configuration.
   */
  readonly strictKeys: boolean
  /** Retries per request of callers. In any `retryWindow`, all gateways together are allowed `retrySlack` more. */
  readonly retryRatio: number
  readonly retrySlack: number
  readonly retryWindow: number
  /** The bound on requests to a cold upstream; undefined if upstreams do not count as cold. */
  readonly coldBound: ColdBound | undefined
  /** Whether room is shared between teams, and requests that can still be in time go first (`[room] fair`). */
  readonly fair: boolean
  /**
   * Whether one gateway issues the places at a model's heads for all gateways while they are scarce (`rooms.ts`).
   * Absent: no.
   */
  readonly sharedRoom?: boolean
  /** How long all streams of a replica's head may be silent before it is suspected. */
  readonly maxSilence: number
  /**
   * Age of another gateway's list of upstreams above which this gateway watches the store itself (`upstreamfeed.ts`).
   */
  readonly maxListAge: number
  /** Age of this gateway's own list above which it asks other gateways (`upstreamrefresh.ts`). */
  readonly maxAskAge: number
  /** Age of the list of upstreams above which requests are held after a pause of this process (`sendgate.ts`). */
  readonly maxSendAge: number
  /** How long they are held at most. */
  readonly maxHold: number
  /**
   * Time within which streams leave a data centre once this gateway knows that it is evacuated; undefined if
   * evacuations are disabled.
   */
  readonly evacuationTime: number | undefined
  /** Bounds on the bytes of answers that callers have not read yet (`[unread]`). */
  readonly unread: BacklogBounds
  /** Upper bound on the bytes of requests that are held (`[overload] bodies`). */
  readonly maxBodyBytes: number
  /**
   * How long new connections may queue without a break before some are closed unread (`[overload]`). Undefined: for any
   * time.
   */
  readonly maxConnectionWait: number | undefined
  /** The resources that the process may use before the balancer sends new callers to other gateways (`[readiness]`). */
  readonly readiness: ReadinessLimits
  /** Interval between the heartbeats of an upstream at the platform. */
  readonly upstreamHeartbeatInterval: number
  /**
   * How long an engine that answers is retained in its replica after its entry is gone. 0: it counts as missing at
   * once.
   */
  readonly keepUnlisted: number
  /** Whether spares load weights before a replica needs them (`forming/src/warming.ts`). */
  readonly warmSpares: boolean
  /**
   * Times after the signal to stop: when the balancer has noticed, when new requests are refused, and when the process
   * ends.
   */
  readonly notice: number
  readonly refuseAfter: number
  readonly grace: number
}
