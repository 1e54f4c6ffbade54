/**
 * The grants that a worker has given: its node to one head, and its votes for homes of keys. Owns them in memory; after a
 * restart it waits a lease before it gives any.
 */
import { type Clock } from '@eiderwind/clock'
import { Granter, type Answer, type GranterOptions } from '@eiderwind/lease'
import { type ClaimMessage } from '@eiderwind/wire'

/** The resource under which a node is granted to a replica's head. */
export const nodeResource = 'node'

/** The holder's name under which a head claims nodes: one replica in one generation. */
export function replicaHolder (replica: string, generation: number): string {
  return `${replica}#${generation}`
}

/** The grants that this worker has given: its node to a head, and its votes for homes of keys. */
export class Grants {
  readonly #clock: Clock
  #granter: Granter

  constructor (clock: Clock, options: GranterOptions) {
    this.#clock = clock
    this.#granter = Granter.started(clock.now(), options)
  }

  /** Who holds this node now. */
  get node (): string | undefined {
    return this.holder(nodeResource)
  }

  /** Who holds a resource now. */
  holder (resource: string): string | undefined {
    return this.#granter.holder(resource, this.#clock.now())
  }

  claim (message: ClaimMessage): Answer {
    const { granter, answer } = this.#granter.request(message, this.#clock.now())
    this.#granter = granter
    return answer
  }

  release (message: ClaimMessage): void {
    this.#granter = this.#granter.release(message)
  }
}
