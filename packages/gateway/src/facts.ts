/**
 * The board of a gateway: what it believes of the configuration and of the store. The platform's listener and messages
 * from other gateways write it; admission, leadership and the health check read it.
 */
import { Board } from '@eiderwind/board'
import { type Evacuation } from '@eiderwind/peers'
import { RouteTable, TeamTable, type Traffic } from '@eiderwind/traffic'
import { type Completeness } from './platform.js'

/** A configuration in force, with the tables made from it. */
export interface InForce {
  readonly traffic: Traffic
  readonly routes: RouteTable
  /** Undefined where no request needs a key. */
  readonly teams: TeamTable | undefined
  /** When it came into force here, on `Clock.now`. */
  readonly since: number
}

/** What a gateway believes, beside its roster and its peers. */
export interface GatewayFacts {
  readonly inForce: InForce | undefined
  /** When the confirmation that counts was asked for: the latest asking that was answered, on `Clock.bootNow`. */
  readonly confirmedAt: number
  /** Whether the store answered the last call of a watch. */
  readonly store: boolean
  /** Where the list of upstreams came from last; undefined before there is one. */
  readonly upstreamsFrom: 'store' | 'peer' | undefined
  /** The list of upstreams lacks nothing that happened before this time, on `Clock.bootNow`. */
  readonly upstreamsAt: number
  /** The store's revision up to which that list lacks nothing; undefined before there is one, or where its source did not say. */
  readonly upstreamsRevision: number | undefined
  /** The data centres that are evacuated; undefined before anything is known of them. */
  readonly evacuation: Evacuation | undefined
  /** Whether the list came from another gateway last although the store could be reached: outages of the store may have gone unnoticed. */
  readonly followed: boolean
  /** Whether the list of gateways was ever read. */
  readonly listed: boolean
  /** Whether the process has got the signal to stop. */
  readonly stopping: boolean
}

/** The board of a gateway. */
export type GatewayBoard = Board<GatewayFacts>

/** The board of a process that knows nothing yet. */
export function gatewayBoard (): GatewayBoard {
  return new Board<GatewayFacts>({ inForce: undefined, confirmedAt: -Infinity, upstreamsFrom: undefined, upstreamsAt: -Infinity, upstreamsRevision: undefined, evacuation: undefined, followed: false, store: false, listed: false, stopping: false })
}

/** Puts a configuration into force, unless one as new is in force. Returns whether it did. Nothing older ever replaces it. */
export function enforce (board: GatewayBoard, traffic: Traffic, now: number): boolean {
  const present = board.read('inForce')
  if (present !== undefined && present.traffic.revision >= traffic.revision) return false
  const teams = traffic.teams === undefined ? undefined : new TeamTable(traffic.teams)
  board.write('inForce', { traffic, routes: new RouteTable(traffic.routes), teams, since: now })
  return true
}

/** Records a confirmation that was asked for at `askedAt`. Answers may come out of order; the latest asking counts. */
export function confirm (board: GatewayBoard, askedAt: number): void {
  if (askedAt > board.read('confirmedAt')) board.write('confirmedAt', askedAt)
}

/** Records up to when the list of upstreams lacks nothing, by the store itself. */
export function complete (board: GatewayBoard, { at, revision }: Completeness): void {
  if (at > board.read('upstreamsAt')) board.write('upstreamsAt', at)
  board.write('upstreamsRevision', revision)
}

/** Revision of the configuration in force; 0 before there is one. */
export function revisionInForce (board: GatewayBoard): number {
  return board.read('inForce')?.traffic.revision ?? 0
}
