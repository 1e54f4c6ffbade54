import { kinds, type Code, type Kind, type Outcome } from './kinds.js'

/** A fault as it is written on the wire, under the key `error` of a JSON body. */
export interface FaultBody {
  readonly code: Code
  readonly message: string
  readonly outcome: Outcome
}

/** What a fault may say beyond its kind. */
export interface FaultOptions {
  /** What is wrong in this case; the remedy of the kind is added behind it. */
  readonly detail?: string
  /** Seconds after which coming back helps. Default: that of the kind. */
  readonly retryAfter?: number
  /** Default: that of the kind. */
  readonly outcome?: Outcome
}

/** A typed error of the system. Its message says what is wrong and then names the remedy. */
export class Fault extends Error {
  readonly code: Code
  readonly outcome: Outcome
  readonly retryAfter: number | undefined
  readonly #detail: string | undefined

  constructor (code: Code, options: FaultOptions = {}) {
    const kind: Kind = kinds[code]
    super(options.detail === undefined ? kind.remedy : `${options.detail} ${kind.remedy}`)
    this.name = 'Fault'
    this.code = code
    this.outcome = options.outcome ?? kind.outcome
    this.retryAfter = options.retryAfter ?? kind.retryAfter
    this.#detail = options.detail
  }

  get status (): number {
    return kinds[this.code].status
  }

  /** The same fault with the outcome `unknown`, and with `reason` said after what is wrong. */
  doubted (reason: string): Fault {
    const detail = this.#detail === undefined ? reason : `${this.#detail} ${reason}`
    return new Fault(this.code, { detail, outcome: 'unknown', retryAfter: this.retryAfter })
  }

  /** The body that is sent to a caller. */
  get body (): FaultBody {
    return { code: this.code, message: this.message, outcome: this.outcome }
  }

  /** The fault in a body that another process of the system sent, or undefined where there is none. */
  static read (text: string): Fault | undefined {
    try {
      const error = (JSON.parse(text) as { error?: Partial<FaultBody> }).error
      if (error?.code === undefined || !(error.code in kinds)) return undefined
      return new Fault(error.code, { outcome: error.outcome })
    } catch {
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
