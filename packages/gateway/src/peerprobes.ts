/**
 * Has other gateways probe an engine that does not answer this one. Owns nothing. Relies on `RelayCalls` to ask them, and
 * on `PeerServer` of these to probe the engine.
 */
import { IndirectProbes, type NodeAddress } from '@eiderwind/detect'
import { decodeProbeAnswer, encodeProbe, paths } from './messages.js'
import { type RelayCalls } from './relaycalls.js'

/** How long an answer may take, in ms: the 280 ms for which the other gateway waits for the engine, plus the round trip. */
const answerTimeout = 450

/** Probes through other gateways. */
export class PeerProbes extends IndirectProbes {
  readonly #relayCalls: RelayCalls

  constructor (relayCalls: RelayCalls) {
    super()
    this.#relayCalls = relayCalls
  }

  async probe (node: NodeAddress): Promise<boolean> {
    return await this.#relayCalls.send(node.id, {
      path: paths.probe,
      body: encodeProbe(node),
      timeout: answerTimeout,
      decode: decodeProbeAnswer,
      unanswered: false
    })
  }
}
