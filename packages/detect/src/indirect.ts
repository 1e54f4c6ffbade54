/**
 * Probes of an engine through other gateways. An engine that does not answer this gateway may answer others: silence
 * shows that a path is cut, and only an answer shows where it is not. Owns how long an engine has been silent to the
 * gateways that were asked. Relies on its caller to ask while the engine is silent to this gateway too.
 */
import { type Clock } from '@eiderwind/clock'
import { type NodeAddress } from './probes.js'

/** Asks other gateways. Implemented in `gateway`; used by `Liveness`. */
export abstract class IndirectProbes {
  /**
   * Has some other gateways probe a node, other ones each time as far as there are any. Resolves to whether the node
   * answered one of them, and to false if there are no others.
   */
  abstract probe (node: NodeAddress): Promise<boolean>
}

/**
 * Rounds without an answer after which an engine is silent to other gateways. The gateways of a single round may all be
 * behind the same cut.
 */
const minRounds = 3

/** What other gateways have found out about one engine. */
interface IndirectSilence {
  /** Consecutive rounds without an answer. */
  readonly rounds: number
  /** When another gateway last got an answer, on `Clock.now`; -Infinity if none did. */
  readonly answeredAt: number
}

/** Dependencies of `IndirectSilences`. Times are in ms. */
export interface IndirectSilencesOptions {
  readonly clock: Clock
  readonly probes: IndirectProbes
  /** When this process last resumed after a pause of its own, on `Clock.now`. */
  readonly resumedAt: () => number
  /** Called when a round has ended. */
  readonly changed: () => void
  /** Called with an error that nothing else handles. */
  readonly failed: (error: unknown) => void
}

/** The engines that other gateways were asked about. */
export class IndirectSilences {
  readonly #options: IndirectSilencesOptions
  readonly #silences = new Map<string, IndirectSilence>()

  constructor (options: IndirectSilencesOptions) {
    this.#options = options
  }

  get ids (): Iterable<string> {
    return this.#silences.keys()
  }

  /** Begins a round of probes of an engine. */
  ask (node: NodeAddress): void {
    const { clock, probes, resumedAt, changed, failed } = this.#options
    const askedAt = clock.now()
    probes.probe(node).then(answered => {
      // Answers that arrived during a pause of this process may have been dropped.
      if (answered || resumedAt() < askedAt) this.#record(node.id, answered)
      changed()
    }).catch(failed)
  }

  #record (id: string, answered: boolean): void {
    const { rounds = 0, answeredAt = -Infinity } = this.#silences.get(id) ?? {}
    this.#silences.set(id, answered ? { rounds: 0, answeredAt: this.#options.clock.now() } : { rounds: rounds + 1, answeredAt })
  }

  forget (id: string): void {
    this.#silences.delete(id)
  }

  /** Time since an engine last answered another gateway, in ms; Infinity if it never did. */
  timeSinceAnswer (id: string): number {
    return this.#options.clock.now() - (this.#silences.get(id)?.answeredAt ?? -Infinity)
  }

  /** Whether enough gateways were asked in vain since an engine last answered one of them. */
  isUnanswered (id: string): boolean {
    return (this.#silences.get(id)?.rounds ?? 0) >= minRounds
  }

  /** What other gateways have found out, as text for the log. Undefined if none was asked. */
  describe (id: string): string | undefined {
    const silence = this.#silences.get(id)
    if (silence === undefined) return undefined
    const answer = silence.answeredAt === -Infinity ? '' : `answered another gateway ${Math.round(this.timeSinceAnswer(id))} ms ago, `
    return `${answer}${silence.rounds} rounds through other gateways unanswered`
  }
}
