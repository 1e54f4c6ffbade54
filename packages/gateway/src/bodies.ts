/**
 * Bounds the bytes of callers' requests that this gateway holds: a body is held from its first byte until its request
 * has ended, since it may have to be sent again. Decides when a body finds no room; owns only the count. A gateway that
 * exceeds its memory is ended by the platform, together with the requests of all other callers.
 */
import { type BodyRoom } from '@eiderwind/wire'

/**
 * Bodies up to this length, in bytes, always find room: long bodies must not displace the others. Their number is
 * bounded by that of the connections.
 */
const smallBody = 16 * 1024

/** The bodies of all requests that have not ended. */
export class Bodies {
  readonly #maxBytes: number
  #held = 0
  #refused = 0

  /** @param maxBytes upper bound on the bytes of all bodies that are not small */
  constructor (maxBytes: number) {
    this.#maxBytes = maxBytes
  }

  /** Bytes that are held now. */
  get held (): number {
    return this.#held
  }

  /** Number of bodies that found no room. */
  get refused (): number {
    return this.#refused
  }

  /** The room for the body of one request. */
  open (): HeldBody {
    return new HeldBody({
      take: (held, more) => this.#take(held, more),
      release: bytes => { this.#held -= bytes },
      refuse: () => { this.#refused++ }
    })
  }

  /** @param held bytes of the same body that are held already */
  #take (held: number, more: number): boolean {
    // A body alone always finds room: how long it may be is the operator's decision.
    const fits = held + more <= smallBody || this.#held + more <= this.#maxBytes || this.#held === held
    if (fits) this.#held += more
    return fits
  }
}

/** What a held body needs of the others. */
interface HeldBodyOptions {
  readonly take: (held: number, more: number) => boolean
  readonly release: (bytes: number) => void
  readonly refuse: () => void
}

/** The room that one body takes. */
export class HeldBody implements BodyRoom {
  readonly #options: HeldBodyOptions
  #bytes = 0

  constructor (options: HeldBodyOptions) {
    this.#options = options
  }

  fits (length: number): boolean {
    const { take, release, refuse } = this.#options
    const fits = take(this.#bytes, length)
    if (fits) release(length)
    else refuse()
    return fits
  }

  take (length: number): boolean {
    const { take, refuse } = this.#options
    const fits = take(this.#bytes, length)
    if (fits) this.#bytes += length
    else refuse()
    return fits
  }

  /** Frees the room. The request has ended, or its body was refused. */
  release (): void {
    this.#options.release(this.#bytes)
    this.#bytes = 0
  }
}
