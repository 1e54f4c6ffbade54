/**
 * Carries claims of leases to granters over the calls between processes. Owns nothing; the rules of leases are in `lease`.
 */
import { Channel, type Answer, type Claim } from '@eiderwind/lease'
import { type Peer } from '@eiderwind/schema'
import { type ClaimAnswer, type Clients } from '@eiderwind/wire'

/** Is told each granter's answer, beyond what the lease itself needs. */
export type ClaimListener = (granter: string, answer: ClaimAnswer) => void

/** Reaches granters through the calls between processes. */
export class WireChannel extends Channel {
  readonly #clients: Clients
  readonly #listener: ClaimListener
  #addresses: ReadonlyMap<string, string> = new Map()
  #revision = 0

  /** @param revision revision of the list that `peers` comes from */
  constructor (clients: Clients, peers: readonly Peer[], revision: number, listener: ClaimListener) {
    super()
    this.#clients = clients
    this.#listener = listener
    this.revise(peers, revision)
  }

  /** Goes by another list of granters from now on. */
  revise (peers: readonly Peer[], revision: number): void {
    this.#addresses = new Map(peers.map(({ id, address }) => [id, address]))
    this.#revision = revision
  }

  async request (granter: string, claim: Claim): Promise<Answer> {
    const answer = await this.#calls(granter).claim({ ...claim, revision: this.#revision })
    this.#listener(granter, answer)
    return answer.answer
  }

  async release (granter: string, claim: Claim): Promise<void> {
    await this.#calls(granter).release({ ...claim, revision: this.#revision })
  }

  #calls (granter: string): ReturnType<Clients['worker']> {
    return this.#clients.worker(this.#addresses.get(granter) ?? '')
  }
}
