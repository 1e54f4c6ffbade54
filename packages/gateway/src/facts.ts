import { Board } from '@eiderwind/board'
import { RouteTable, TeamTable, type Traffic } from '@eiderwind/traffic'

/** A configuration in force, with the tables made from it. */
export interface InForce {
  readonly traffic: Traffic
  readonly routes: RouteTable
  /** Undefined where no request needs a key. */
  readonly teams: TeamTable | undefined
  /** When it came into force here, on `Clock.now`. */
  readonly since: number
}

/** What a direct entry knows beside its roster and its peers. */
export interface GatewayFacts {
  readonly inForce: InForce | undefined
  /** When the newest confirmation that this is the newest configuration was asked for, on `Clock.now`. */
  readonly confirmedAt: number
  /** Whether the store answered the last call. */
  readonly store: boolean
  /** Whether the list of entries was ever told. */
  readonly listed: boolean
  readonly stopping: boolean
}

export type GatewayBoard = Board<GatewayFacts>

/** The board of a process that knows nothing yet. */
export function gatewayBoard (): GatewayBoard {
  return new Board<GatewayFacts>({ inForce: undefined, confirmedAt: -Infinity, store: false, listed: false, stopping: false })
}

/** Puts a configuration into force, unless it is older than the one in force. Says whether it did. */
export function enforce (board: GatewayBoard, traffic: Traffic, now: number): boolean {
  const present = board.read('inForce')
  if (present !== undefined && present.traffic.revision >= traffic.revision) return false
  const teams = traffic.teams === undefined ? undefined : new TeamTable(traffic.teams)
  board.write('inForce', { traffic, routes: new RouteTable(traffic.routes), teams, since: now })
  return true
}

/** Notes a confirmation that was asked for at `askedAt`. Confirmations may come out of order; the latest asked counts. */
export function confirm (board: GatewayBoard, askedAt: number): void {
  if (askedAt > board.read('confirmedAt')) board.write('confirmedAt', askedAt)
}
