/**
 * The error type of all refusals, and its form in a JSON body. Relies on `kinds` for the defaults of each code.
 */
import { kinds, type Code, type Kind, type Outcome } from './kinds.js'

/** A fault on the wire: the value of `error` in a JSON body. */
export interface FaultBody {
  readonly code: Code
  readonly message: string
  readonly outcome: Outcome
}

/** Values of a fault that are added to those of its kind, or override them. */
export interface FaultOptions {
  /** What is wrong in this case, in full sentences. In the message, the remedy follows it. */
  readonly detail?: string
  /** What the caller can do, in one sentence. Default: the remedy of the kind. */
  readonly remedy?: string
  /** `Retry-After`, in seconds. Default: the value of the kind. */
  readonly retryAfter?: number
  /** Default: the outcome of the kind. */
  readonly outcome?: Outcome
}

/** A typed error of the system. Its message consists of the detail, if there is one, and the remedy. */
export class Fault extends Error {
  readonly code: Code
  readonly outcome: Outcome
  readonly retryAfter: number | undefined
  readonly #detail: string | undefined
  readonly #remedy: string | undefined

  constructor (code: Code, options: FaultOptions = {}) {
    const kind: Kind = kinds[code]
    const remedy = options.remedy ?? kind.remedy
    super(options.detail === undefined ? remedy : `${options.detail} ${remedy}`)
    this.name = 'Fault'
    this.code = code
    this.outcome = options.outcome ?? kind.outcome
    this.retryAfter = options.retryAfter ?? kind.retryAfter
    this.#detail = options.detail
    this.#remedy = options.remedy
  }

  /** HTTP status (RFC 9110). */
  get status (): number {
    return kinds[this.code].status
  }

  /** A copy of the fault with the outcome `unknown` and with `reason` appended to its detail. */
  withUnknownOutcome (reason: string): Fault {
    const detail = this.#detail === undefined ? reason : `${this.#detail} ${reason}`
    return new Fault(this.code, { detail, remedy: this.#remedy, outcome: 'unknown', retryAfter: this.retryAfter })
  }

  /** The body that is sent to a caller. */
  get body (): FaultBody {
    return { code: this.code, message: this.message, outcome: this.outcome }
  }

  /** Parses the fault in a body that another process of the system sent. Undefined if the body contains no fault. */
  static parse (text: string): Fault | undefined {
    try {
      const error = (JSON.parse(text) as { error?: Partial<FaultBody> }).error
      if (error?.code === undefined || !(error.code in kinds)) return undefined
      return new Fault(error.code, { outcome: error.outcome })
    } catch {
      // A body that is not JSON contains no fault. The caller of this function decides what that means.
      return undefined
    }
  }
}

/** Returns `error` itself if it is a fault, else a fault with code `code` and the message of `error` as its detail. */
export function asFault (error: unknown, code: Code): Fault {
  if (error instanceof Fault) return error
  const detail = error instanceof Error ? error.message : String(error)
  return new Fault(code, { detail: `${detail}.` })
}
