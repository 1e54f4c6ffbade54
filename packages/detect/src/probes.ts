/**
 * How a platform lets one node be checked directly, beside the list that may lag by seconds. Implemented by the
 * platform's adapter; used by `Liveness` alone.
 */
export abstract class Probes {
  /** Whether the process at an address answers a call, whatever it says, within the adapter's time-out. */
  abstract isReachable (address: string): Promise<boolean>

  /** A node's heartbeat count at the platform; undefined where the platform has none or cannot be asked. */
  abstract heartbeatOf (node: string): Promise<number | undefined>
}
