/**
 * What this gateway knows about the other gateways that issue places: the last grant received from each, and which of
 * them do not reply.
 */
import { type Clock } from '@eiderwind/clock'

/**
 * Consecutive unanswered place requests after which an issuer gets none for a while, and the duration of this
 * backoff, in ms. A gateway that ended counts as gone before the backoff is over.
 */
const maxUnanswered = 3
const backoffTime = 1000

/** How long heartbeats report the last grant of an issuer, in ms. */
const announceTime = 5000

interface Grant {
  readonly order: number
  readonly at: number
}

interface Timeouts {
  unanswered: number
  until: number
}

/** The other gateways that issue places. */
export class RemoteIssuers {
  readonly #clock: Clock
  readonly #grants = new Map<string, Grant>()
  readonly #timeouts = new Map<string, Timeouts>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /**
   * Records a reply of an issuer.
   * @param order the number of the grant, if the reply is a grant
   */
  recordReply (id: string, order: number | undefined): void {
    this.#timeouts.delete(id)
    if (order !== undefined) this.#grants.set(id, { order, at: this.#clock.now() })
  }

  /** Records that an issuer did not reply in time. */
  recordTimeout (id: string): void {
    const timeouts = this.#timeouts.get(id) ?? { unanswered: 0, until: -Infinity }
    timeouts.unanswered++
    if (timeouts.unanswered >= maxUnanswered) timeouts.until = this.#clock.now() + backoffTime
    this.#timeouts.set(id, timeouts)
  }

  /** Whether no place requests should be sent to an issuer now. */
  isBackedOff (id: string): boolean {
    return (this.#timeouts.get(id)?.until ?? -Infinity) > this.#clock.now()
  }

  /** The last grant of an issuer; 0 if there is none. */
  lastGrant (id: string): number {
    return this.#grants.get(id)?.order ?? 0
  }

  /** The last grants of all issuers that have granted a place recently. */
  get lastGrants (): Record<string, number> {
    const since = this.#clock.now() - announceTime
    for (const [id, { at }] of this.#grants) if (at < since) this.#grants.delete(id)
    return Object.fromEntries([...this.#grants].map(([id, { order }]) => [id, order]))
  }
}
