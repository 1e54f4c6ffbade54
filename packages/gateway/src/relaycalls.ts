/**
 * Has other gateways call an engine that does not answer this one. Owns nothing. Relies on `Relays` for which gateways
 * are asked, and records there which of them the engine answered.
 */
import { type Clock } from '@eiderwind/clock'
import { type PeerAddress } from '@eiderwind/peers'
import { ask, type Connections } from '@eiderwind/wire'
import { type Relays } from './relays.js'

/** Dependencies of `RelayCalls`. */
export interface RelayCallsOptions {
  readonly clock: Clock
  readonly relays: Relays
  readonly connections: Pick<Connections, 'send'>
}

/** What other gateways are asked. */
export interface RelayCall<Answer> {
  readonly path: string
  readonly body: string
  /** How long another gateway may take to answer, in ms. */
  readonly timeout: number
  readonly decode: (body: string) => Answer
  /** The answer of a gateway that the engine does not answer. */
  readonly unanswered: Answer
}

/** Calls to engines through other gateways. */
export class RelayCalls {
  readonly #options: RelayCallsOptions

  constructor (options: RelayCallsOptions) {
    this.#options = options
  }

  /** Resolves to an answer that a gateway got from the engine, or to `unanswered` if none got one. */
  async send<Answer> (engine: string, call: RelayCall<Answer>): Promise<Answer> {
    const { relays } = this.#options
    const answers = await Promise.all(relays.choose(engine).map(async peer => {
      const answer = await this.#ask(peer, call)
      relays.record(engine, peer.id, answer !== call.unanswered)
      return answer
    }))
    return answers.find(each => each !== call.unanswered) ?? call.unanswered
  }

  async #ask<Answer> ({ address }: PeerAddress, { path, body, timeout, decode, unanswered }: RelayCall<Answer>): Promise<Answer> {
    const { clock, connections } = this.#options
    const call = { origin: `http://${address}`, path, method: 'POST', headers: {}, body: Buffer.from(body) }
    try {
      const answer = await ask(connections, clock, call, timeout)
      return decode(answer.body.toString())
    } catch {
      // A gateway that does not answer, or whose build does not know the call, says nothing about the engine.
      return unanswered
    }
  }
}
