/**
 * Suspected requests that run now, each at an upstream where no other suspect runs: so a crash there shows which of them causes it. Owns the trials
 * of this gateway; those of the others come with their heartbeats. A trial that is heard of too late costs proof, not safety.
 */
import { type Clock } from '@eiderwind/clock'

/** Dependencies of `Trials`. */
export interface TrialsOptions {
  readonly clock: Clock
  /** The trials of the other gateways: the request, by upstream. */
  readonly others: () => ReadonlyArray<Readonly<Record<string, string>>>
  /** Called when a trial begins, so that the others hear of it. */
  readonly begun: () => void
  /** Called when a trial is over, so that those that wait for it look again. */
  readonly over: () => void
}

/**
 * Time that a suspect has to run after the first part of its answer before another one may join it, in ms. Requests that crash their engine did so 50 to 90
 * ms after they began to run.
 */
const provingTime = 300

/** One suspected request at one upstream. */
export class Trial {
  readonly #clock: Clock
  readonly #over: () => void
  #timed = false

  constructor (clock: Clock, over: () => void) {
    this.#clock = clock
    this.#over = over
  }

  /** Records that a part of its answer came. */
  received (): void {
    if (this.#timed) return
    this.#timed = true
    this.#clock.after(provingTime, () => this.#over())
  }

  /** Records that the attempt has ended. */
  end (): void {
    this.#over()
  }
}

/** The trials under way. */
export class Trials {
  readonly #options: TrialsOptions
  /** Own trials: the request and the trial, by upstream. */
  readonly #own = new Map<string, { readonly request: string, readonly trial: Trial }>()

  constructor (options: TrialsOptions) {
    this.#options = options
  }

  /** The own trials: the request, by upstream. */
  get own (): Record<string, string> {
    return Object.fromEntries([...this.#own].map(([upstream, { request }]) => [upstream, request]))
  }

  /** Upstreams at which any gateway has a trial. */
  get upstreams (): ReadonlySet<string> {
    return new Set([...this.#own.keys(), ...this.#options.others().flatMap(each => Object.keys(each))])
  }

  /** Whether any gateway tries a request now. */
  has (request: string): boolean {
    return [this.own, ...this.#options.others()].some(each => Object.values(each).includes(request))
  }

  /** Begins a trial. */
  begin (request: string, upstream: string): Trial {
    const trial: Trial = new Trial(this.#options.clock, () => this.#end(upstream, trial))
    this.#own.set(upstream, { request, trial })
    this.#options.begun()
    return trial
  }

  #end (upstream: string, trial: Trial): void {
    if (this.#own.get(upstream)?.trial !== trial) return
    this.#own.delete(upstream)
    this.#options.over()
  }
}
