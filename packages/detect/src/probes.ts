/** Asks after one node, past what the platform's list says of it. */
export abstract class Probes {
  /** Whether an engine answers a call at all. */
  abstract answers (address: string): Promise<boolean>
  /** A number that changes as long as the platform hears of an upstream; undefined where that cannot be told. */
  abstract pulse (node: string): Promise<number | undefined>
}
