import { type Clock } from '@eiderwind/clock'
import { type Log } from '@eiderwind/log'
import { type Peers } from '@eiderwind/peers'
import { type Outage, type Roster } from '@eiderwind/roster'
import { confirm, enforce, type GatewayBoard } from './facts.js'
import { type Follower } from './platform.js'

/** Where what the platform tells is kept. */
export interface FollowingOptions {
  readonly clock: Clock
  readonly log: Log
  readonly board: GatewayBoard
  readonly roster: Roster
  readonly outage: Outage
  readonly peers: Peers
}

/** Takes what the platform tells: each thing to where it is kept, with a line for what changes the belief of the process. */
export function following ({ clock, log, board, roster, outage, peers }: FollowingOptions): Follower {
  return {
    traffic: (traffic, askedAt) => {
      if (enforce(board, traffic, clock.now())) {
        log.write('configuration-new', { revision: traffic.revision, age: Math.round(clock.now() - askedAt) })
      }
      if (board.read('inForce')?.traffic.revision === traffic.revision) confirm(board, askedAt)
    },
    confirmed: askedAt => confirm(board, askedAt),
    upstreams: all => roster.replace(all),
    changes: changes => roster.apply(changes),
    entries: entries => {
      board.write('listed', true)
      peers.setAddresses(entries)
    },
    answered: () => {
      outage.answered()
      if (board.read('store')) return
      board.write('store', true)
      log.write('store-back', {})
    },
    failed: (askedAt, cause) => {
      outage.failed(askedAt)
      if (!board.read('store')) return
      board.write('store', false)
      log.write('store-lost', { cause })
    }
  }
}
