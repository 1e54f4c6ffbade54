import sonic, { type SonicBoom } from 'sonic-boom'
import { type Sink } from './log.js'

/** Options of a bounded sink. */
export interface BoundedOptions {
  /** File descriptor that lines go to. Default: 1, standard output. */
  readonly fd?: number
  /** Lines a second, and lines that may come at once after a pause. Default: 100 and 300. */
  readonly rate?: number
  readonly burst?: number
  /** Bytes that wait for a reader before lines are dropped. Default: 262144. */
  readonly waiting?: number
  /** Steady time, in ms. */
  readonly now: () => number
}

/** Takes lines without ever waiting for a reader: drops and counts those that are too many or that nobody reads. */
export class Bounded {
  readonly #out: SonicBoom
  readonly #rate: number
  readonly #burst: number
  readonly #now: () => number
  #tokens: number
  #at: number
  #dropped = 0

  constructor ({ fd = 1, rate = 100, burst = 300, waiting = 262_144, now }: BoundedOptions) {
    this.#out = new sonic.SonicBoom({ fd, sync: false, maxLength: waiting })
    this.#out.on('drop', () => { this.#dropped++ })
    this.#out.on('error', () => {})
    this.#rate = rate
    this.#burst = burst
    this.#now = now
    this.#tokens = burst
    this.#at = now()
  }

  /** The sink, for a log. */
  readonly sink: Sink = line => {
    const now = this.#now()
    this.#tokens = Math.min(this.#burst, this.#tokens + (now - this.#at) / 1000 * this.#rate)
    this.#at = now
    if (this.#tokens < 1) {
      this.#dropped++
      return
    }
    this.#tokens--
    this.#out.write(`${line}\n`)
  }

  /** Lines that were dropped since this was last asked. */
  takeDropped (): number {
    const dropped = this.#dropped
    this.#dropped = 0
    return dropped
  }

  /** Writes what is waiting, as far as the reader takes it at once. */
  end (): void {
    try {
      this.#out.flushSync()
    } catch {
      // A reader that does not read loses what was not written yet.
    }
  }
}
