/**
 * The error type that every refusal is made of, and its form in a JSON body. Owns nothing at run time; relies on `kinds`
 * for what is fixed for each code.
 */
import { kinds, type Code, type Kind, type Outcome } from './kinds.js'

/** A fault on the wire: the value of `error` in a JSON body. */
export interface FaultBody {
  readonly code: Code
  readonly message: string
  readonly outcome: Outcome
}

/** What a fault may say beyond its kind, or in place of it. */
export interface FaultOptions {
  /** What is wrong in this case, in full sentences; the remedy follows it in the message. */
  readonly detail?: string
  /** What the caller can do about it, in one sentence. Default: that of the kind. */
  readonly remedy?: string
  /** `Retry-After`, in seconds. Default: that of the kind. */
  readonly retryAfter?: number
  /** Default: that of the kind. */
  readonly outcome?: Outcome
}

/** A typed error of the system. Its message says what is wrong, then what to do about it. */
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

  /** The same fault with the outcome `unknown` and with `reason` added to its detail. */
  doubted (reason: string): Fault {
    const detail = this.#detail === undefined ? reason : `${this.#detail} ${reason}`
    return new Fault(this.code, { detail, remedy: this.#remedy, outcome: 'unknown', retryAfter: this.retryAfter })
  }

  /** The body that is sent to a caller. */
  get body (): FaultBody {
    return { code: this.code, message: this.message, outcome: this.outcome }
  }

  /** The fault in a body that another process of the system sent, or undefined if it holds none. */
  static read (text: string): Fault | undefined {
    try {
      const error = (JSON.parse(text) as { error?: Partial<FaultBody> }).error
      if (error?.code === undefined || !(error.code in kinds)) return undefined
      return new Fault(error.code, { outcome: error.outcome })
    } catch {
      // A body that is no JSON holds no fault; the caller of this function decides what that means.
      return undefined
    }
  }
}

/** The fault that `error` is, or one of kind `code` that carries its message. */
export function asFault (error: unknown, code: Code): Fault {
  if (error instanceof Fault) return error
  const detail = error instanceof Error ? error.message : String(error)
  return new Fault(code, { detail: `${detail}.` })
}
