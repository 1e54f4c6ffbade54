/** The interface through which a platform checks a single engine directly, and the state that an engine reports. */
import { type Upstream } from '@eiderwind/roster'

/** The id of a node of a replica, and the address at which it answers. */
export interface NodeAddress {
  readonly id: string
  readonly address: string
}

/** State that an engine reports on request, some hundred ms old. */
export interface EngineReport extends Pick<Upstream, 'loaded' | 'staged' | 'membership'> {
  /**
   * Whether the answer hints that the engine is about to stop. An engine that stays may give the same hint
   * occasionally.
   */
  readonly leaving: boolean
  /**
   * Number of orders that the engine has begun since it started. Undefined on platforms whose engines don't report it.
   */
  readonly orderCount?: number
}

/**
 * How a call to a process ended: with any answer, with a refused connection, since no process listens at the address, or
 * without an answer.
 */
export type ProbeResult = 'answered' | 'refused' | 'silent'

/**
 * Checks single nodes directly, since the platform's list may lag by seconds. Implemented by the platform's adapter;
 * used by `Liveness` and `Unlisted`.
 */
export abstract class Probes {
  /** Whether the process at an address answers a call within the adapter's time-out, whatever the answer is. */
  abstract probe (address: string): Promise<ProbeResult>

  /**
   * The state that a node reports. Undefined if the node does not answer within the adapter's time-out, or if another
   * node answers at its address.
   */
  abstract report (node: NodeAddress): Promise<EngineReport | undefined>

  /** A node's heartbeat count at the platform. Undefined if the platform has none or cannot be reached. */
  abstract heartbeatOf (node: string): Promise<number | undefined>
}
