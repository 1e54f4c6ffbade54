/**
 * The board of a gateway: its current state of the configuration and of the store. The platform's listener and messages
 * from other gateways write it. Admission, leadership and the health check read it.
 */
import { Board } from '@eiderwind/board'
import { type Evacuation } from '@eiderwind/peers'
import { RouteTable, TeamTable, type Traffic } from '@eiderwind/traffic'
import { type Completeness } from './platform.js'

/** A configuration in force, with the tables built from it. */
export interface ConfigurationInForce {
  readonly traffic: Traffic
  readonly routes: RouteTable
  /** Undefined if no request needs a key. */
  readonly teams: TeamTable | undefined
  /** When it came into force here, on `Clock.now`. */
  readonly since: number
}

/** The shared state of a gateway, apart from its roster and its peers. */
export interface GatewayState {
  readonly inForce: ConfigurationInForce | undefined
  /**
   * When the newest confirmation was requested, on `Clock.bootNow`: of all answered requests, the one that was sent
   * last counts.
   */
  readonly confirmedAt: number
  /** Whether the store answered the last call of a watch. */
  readonly store: boolean
  /** The last source of the list of upstreams; undefined before there is a list. */
  readonly upstreamsFrom: 'store' | 'peer' | undefined
  /** The list of upstreams is complete up to this time, on `Clock.bootNow`. */
  readonly upstreamsAt: number
  /**
   * The store's revision up to which that list is complete; undefined before there is a list, or if its source did not
   * say.
   */
  readonly upstreamsRevision: number | undefined
  /** The data centres that are evacuated; undefined before any information about them has arrived. */
  readonly evacuation: Evacuation | undefined
  /**
   * Whether the list came from another gateway last although the store could be reached. Outages of the store may have
   * gone unnoticed in that time.
   */
  readonly followed: boolean
  /** Whether the list of gateways was ever read. */
  readonly listed: boolean
  /** Whether the process has received the signal to stop. */
  readonly stopping: boolean
}

/** The board of a gateway. */
export type GatewayBoard = Board<GatewayState>

/** The board of a process that has just started. */
export function gatewayBoard (): GatewayBoard {
  return new Board<GatewayState>({
    inForce: undefined,
    confirmedAt: -Infinity,
    upstreamsFrom: undefined,
    upstreamsAt: -Infinity,
    upstreamsRevision: undefined,
    evacuation: undefined,
    followed: false,
    store: false,
    listed: false,
    stopping: false
  })
}

/**
 * Puts a configuration into force, unless the present one is at least as new. Returns whether it did. An older
 * configuration never replaces a newer one.
 */
export function applyConfiguration (board: GatewayBoard, traffic: Traffic, now: number): boolean {
  const present = board.read('inForce')
  if (present !== undefined && present.traffic.revision >= traffic.revision) return false
  const teams = traffic.teams === undefined ? undefined : new TeamTable(traffic.teams)
  board.write('inForce', { traffic, routes: new RouteTable(traffic.routes), teams, since: now })
  return true
}

/**
 * Records a confirmation that was requested at `askedAt`. Answers may arrive out of order; the request that was sent
 * last counts.
 */
export function recordConfirmation (board: GatewayBoard, askedAt: number): void {
  if (askedAt > board.read('confirmedAt')) board.write('confirmedAt', askedAt)
}

/** Records up to when the list of upstreams is complete, as reported by the store. */
export function recordCompleteness (board: GatewayBoard, { at, revision }: Completeness): void {
  if (at > board.read('upstreamsAt')) board.write('upstreamsAt', at)
  board.write('upstreamsRevision', revision)
}

/** Revision of the configuration in force; 0 before there is one. */
export function revisionInForce (board: GatewayBoard): number {
  return board.read('inForce')?.traffic.revision ?? 0
}
