/** What a platform must offer to check one engine directly, and what an engine says of itself when it is asked. */
import { type Upstream } from '@eiderwind/roster'

/** A node of a replica, and where it answers. */
export interface NodeAddress {
  readonly id: string
  readonly address: string
}

/** What an engine says of itself when it is asked, some hundred ms old. */
export interface EngineReport extends Pick<Upstream, 'loaded' | 'staged' | 'membership'> {
  /** Whether its answer hints that it is about to stop; one that stays may give the same hint now and then. */
  readonly leaving: boolean
}

/**
 * How a platform lets one node be checked directly, beside the list that may lag by seconds. Implemented by the
 * platform's adapter; used by `Liveness` alone.
 */
export abstract class Probes {
  /** Whether the process at an address answers a call, whatever it says, within the adapter's time-out. */
  abstract isReachable (address: string): Promise<boolean>

  /** What a node says of itself; undefined where it does not answer within the adapter's time-out, or another one does at its address. */
  abstract report (node: NodeAddress): Promise<EngineReport | undefined>

  /** A node's heartbeat count at the platform; undefined where the platform has none or cannot be asked. */
  abstract heartbeatOf (node: string): Promise<number | undefined>
}
