/**
 * The grants that a worker has given. A grant lets one holder use a resource until the grant expires. A worker grants
 * its node to the head of one replica, and its vote for the home of a slot of keys to one worker. The grants are in
 * memory only: after a restart the worker gives none until every grant that it may have given has expired.
 */
import { type Clock } from '@eiderwind/clock'
import { Granter, type Answer, type GranterOptions } from '@eiderwind/lease'
import { type ClaimMessage } from '@eiderwind/wire'

/** The name of the resource that stands for the worker's node. */
export const nodeResource = 'node'

/** The name under which a head claims nodes. It stands for one generation of one replica. */
export function replicaHolder (replica: string, generation: number): string {
  return `${replica}#${generation}`
}

/** Stores the grants that this worker has given, of its node and of its votes. */
export class Grants {
  readonly #clock: Clock
  #granter: Granter

  constructor (clock: Clock, options: GranterOptions) {
    this.#clock = clock
    this.#granter = Granter.started(clock.now(), options)
  }

  /** The current holder of this node. */
  get nodeHolder (): string | undefined {
    return this.holder(nodeResource)
  }

  /** The current holder of a resource. */
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
