/**
 * Sends the claims of a lease to its granters by calls between processes. Owns the addresses of the granters.
 * The rules of leases are in `lease`.
 */
import { Channel, type Answer, type Claim } from '@eiderwind/lease'
import { type Peer } from '@eiderwind/schema'
import { type ClaimAnswer, type Clients } from '@eiderwind/wire'

/** Called with each granter's full answer, which has fields that the lease itself does not need. */
export type ClaimListener = (granter: string, answer: ClaimAnswer) => void

/** A channel of a lease whose granters are workers, reached by calls between processes. */
export class WireChannel extends Channel {
  readonly #clients: Clients
  readonly #listener: ClaimListener
  #addresses: ReadonlyMap<string, string> = new Map()
  #revision = 0

  /** @param revision revision of the list of granters in `peers` */
  constructor (clients: Clients, peers: readonly Peer[], revision: number, listener: ClaimListener) {
    super()
    this.#clients = clients
    this.#listener = listener
    this.setPeers(peers, revision)
  }

  /** Replaces the list of granters. */
  setPeers (peers: readonly Peer[], revision: number): void {
    this.#addresses = new Map(peers.map(({ id, address }) => [id, address]))
    this.#revision = revision
  }

  async request (granter: string, claim: Claim): Promise<Answer> {
    const answer = await this.#client(granter).claim({ ...claim, revision: this.#revision })
    this.#listener(granter, answer)
    return answer.answer
  }

  async release (granter: string, claim: Claim): Promise<void> {
    await this.#client(granter).release({ ...claim, revision: this.#revision })
  }

  #client (granter: string): ReturnType<Clients['worker']> {
    return this.#clients.worker(this.#addresses.get(granter) ?? '')
  }
}
