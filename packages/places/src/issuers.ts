/** What this gateway knows of the others that issue places: the last grant that it has from each, and which of them leave asks unanswered. */
import { type Clock } from '@eiderwind/clock'

/** Unanswered asks in a row after which an issuer is not asked for a while, and how long that is, in ms: within it, a gateway that ended counts as gone. */
const mostUnanswered = 3
const restTime = 1000

/** How long the last grant of an issuer is told in heartbeats, in ms. */
const tellTime = 5000

interface Grant {
  readonly order: number
  readonly at: number
}

interface Silence {
  unanswered: number
  until: number
}

/** The other gateways as issuers. */
export class Issuers {
  readonly #clock: Clock
  readonly #grants = new Map<string, Grant>()
  readonly #silences = new Map<string, Silence>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Takes an answer of an issuer. @param order of the grant, if it is one */
  answered (id: string, order: number | undefined): void {
    this.#silences.delete(id)
    if (order !== undefined) this.#grants.set(id, { order, at: this.#clock.now() })
  }

  /** Takes that an issuer did not answer in time. */
  unanswered (id: string): void {
    const silence = this.#silences.get(id) ?? { unanswered: 0, until: -Infinity }
    silence.unanswered++
    if (silence.unanswered >= mostUnanswered) silence.until = this.#clock.now() + restTime
    this.#silences.set(id, silence)
  }

  /** Whether an issuer is not to be asked now. */
  isSilent (id: string): boolean {
    return (this.#silences.get(id)?.until ?? -Infinity) > this.#clock.now()
  }

  /** The last grant of an issuer; 0 where there is none. */
  lastGrant (id: string): number {
    return this.#grants.get(id)?.order ?? 0
  }

  /** The last grants of all that have given one lately. */
  get lastGrants (): Record<string, number> {
    const since = this.#clock.now() - tellTime
    for (const [id, { at }] of this.#grants) if (at < since) this.#grants.delete(id)
    return Object.fromEntries([...this.#grants].map(([id, { order }]) => [id, order]))
  }
}
