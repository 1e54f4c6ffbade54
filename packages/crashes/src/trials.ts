/**
 * Trials: suspected requests that run now, each at an upstream where no other suspect runs. A crash of the upstream
 * then shows which request causes it. This module owns the trials of this gateway; those of the other gateways arrive
 * with their heartbeats. If a trial becomes known too late, two suspects may run at one upstream. A crash there proves
 * nothing, but safety is not affected.
 */
import { type Clock } from '@eiderwind/clock'

/** Dependencies of `Trials`. */
export interface TrialsOptions {
  readonly clock: Clock
  /** The trials of the other gateways: the suspected names by upstream, an object per gateway. */
  readonly others: () => ReadonlyArray<Readonly<Record<string, readonly string[]>>>
  /** Called when a trial begins, so that the other gateways are notified. */
  readonly begun: () => void
  /** Called when a trial has ended, so that waiting requests search for an upstream again. */
  readonly ended: () => void
}

/**
 * Time that a suspect has to run after the first part of its answer before another one may join it, in ms. Requests
 * that crash their engine did so 50 to 90 ms after they began to run.
 */
const provingTimeMs = 300

/** The trial of one suspected request at one upstream. */
export class Trial {
  readonly #clock: Clock
  readonly #onEnd: () => void
  #hasTimer = false

  constructor (clock: Clock, onEnd: () => void) {
    this.#clock = clock
    this.#onEnd = onEnd
  }

  /** Records that a part of the answer arrived. The trial ends `provingTimeMs` after the first part. */
  received (): void {
    if (this.#hasTimer) return
    this.#hasTimer = true
    this.#clock.after(provingTimeMs, () => this.#onEnd())
  }

  /** Records that the attempt has ended. This ends the trial. */
  end (): void {
    this.#onEnd()
  }
}

/** The current trials. */
export class Trials {
  readonly #options: TrialsOptions
  /** The trials of this gateway by upstream. */
  readonly #own = new Map<string, { readonly request: string, readonly names: readonly string[], readonly trial: Trial }>()

  constructor (options: TrialsOptions) {
    this.#options = options
  }

  /** The trials of this gateway: fingerprint of the request by upstream. */
  get own (): Record<string, string> {
    return Object.fromEntries([...this.#own].map(([upstream, { request }]) => [upstream, request]))
  }

  /** The trials of this gateway: the names for which the request is suspected, by upstream. */
  get ownNames (): Record<string, readonly string[]> {
    return Object.fromEntries([...this.#own].map(([upstream, { names }]) => [upstream, names]))
  }

  /** Upstreams at which any gateway has a trial. */
  get upstreams (): ReadonlySet<string> {
    return new Set([...this.#own.keys(), ...this.#options.others().flatMap(each => Object.keys(each))])
  }

  /** Whether any gateway has a trial of a request with this name now. */
  has (name: string): boolean {
    return [this.ownNames, ...this.#options.others()].some(each => Object.values(each).some(names => names.includes(name)))
  }

  /** Begins a trial. @param names the names for which the request is suspected */
  begin (request: string, names: readonly string[], upstream: string): Trial {
    const trial: Trial = new Trial(this.#options.clock, () => this.#end(upstream, trial))
    this.#own.set(upstream, { request, names, trial })
    this.#options.begun()
    return trial
  }

  #end (upstream: string, trial: Trial): void {
    if (this.#own.get(upstream)?.trial !== trial) return
    this.#own.delete(upstream)
    this.#options.ended()
  }
}
