/**
 * Passes what the platform delivers to the part that owns it. The configuration and its confirmations go to the board,
 * upstreams to `UpstreamSync`, gateways to the peers, evacuations to `EvacuationController`, and answers and failures of
 * the store to outage detection. Logs changes of the gateway's view. A delivery that fails here is no failure of the store:
 * the watches go on.
 */
import { type Clock } from '@eiderwind/clock'
import { type TaskFailures } from '@eiderwind/life'
import { type Log } from '@eiderwind/log'
import { type Peers } from '@eiderwind/peers'
import { type Outage } from '@eiderwind/roster'
import { type Conditions } from './conditions.js'
import { type EvacuationController } from './evacuationcontroller.js'
import { recordConfirmation, applyConfiguration, type GatewayBoard } from './facts.js'
import { DeliveryError, type PlatformListener } from './platform.js'
import { type UpstreamListener } from './upstreamsync.js'

/** Dependencies of a platform's listener. */
export interface PlatformListenerOptions {
  readonly clock: Clock
  readonly log: Log
  readonly board: GatewayBoard
  /** Takes the list of upstreams. */
  readonly upstreams: UpstreamListener
  readonly outage: Outage
  readonly peers: Peers
  readonly conditions: Conditions
  readonly evacuationController: EvacuationController
  readonly failures: TaskFailures
  /** Reports an object that is not used. */
  readonly invalidObject: (kind: string, reason: string) => void
}

/**
 * The listener of a gateway's platform. A delivery of objects that fails throws `DeliveryError`; no other method throws.
 */
export function platformListener (options: PlatformListenerOptions): PlatformListener {
  const { failures } = options
  const contain = <Delivered extends unknown[]>(deliver: (...delivered: Delivered) => void) => (...delivered: Delivered): void => {
    failures.run('delivery', () => deliver(...delivered))
  }
  const report = <Delivered extends unknown[]>(deliver: (...delivered: Delivered) => void) => (...delivered: Delivered): void => {
    failures.run('delivery', () => deliver(...delivered), () => { throw new DeliveryError() })
  }
  const to = receivers(options)
  return {
    configuration: report(to.configuration),
    confirmed: report(to.confirmed),
    upstreams: report(to.upstreams),
    upstreamChanges: report(to.upstreamChanges),
    upstreamsComplete: report(to.upstreamsComplete),
    // These two only read the board.
    isSuperseded: to.isSuperseded,
    upstreamsRevision: to.upstreamsRevision,
    evacuations: report(to.evacuations),
    gateways: report(to.gateways),
    condition: contain(to.condition),
    storeAnswered: contain(to.storeAnswered),
    storeFailed: contain(to.storeFailed),
    taskFailed: to.taskFailed,
    invalidObject: to.invalidObject
  }
}

/** What each delivery does. */
function receivers (options: PlatformListenerOptions): PlatformListener {
  const { clock, log, board, outage, peers, conditions, evacuationController, upstreams, invalidObject } = options
  return {
    ...upstreams,
    configuration: (traffic, askedAt) => {
      if (applyConfiguration(board, traffic, clock.now())) {
        log.write('configuration-new', { revision: traffic.revision, age: Math.round(clock.bootNow() - askedAt) })
      }
      // An older configuration, from a store that lags, does not confirm the one in force.
      if (board.read('inForce')?.traffic.revision === traffic.revision) recordConfirmation(board, askedAt)
    },
    confirmed: askedAt => recordConfirmation(board, askedAt),
    evacuations: (dataCentres, revision) => evacuationController.take({ dataCentres, revision }),
    gateways: all => {
      board.write('listed', true)
      peers.setAddresses(all)
    },
    condition: (upstream, condition) => conditions.take(upstream, condition),
    storeAnswered: () => {
      outage.recordAnswer()
      if (board.read('store')) return
      board.write('store', true)
      log.write('store-back', {})
    },
    storeFailed: (askedAt, cause) => {
      outage.recordFailure(askedAt)
      // Logs only the change: the failures that follow give no new information.
      if (!board.read('store')) return
      board.write('store', false)
      log.write('store-lost', { cause })
    },
    taskFailed: (task, cause) => log.write('controller-failed', { controller: task, cause }),
    invalidObject
  }
}
