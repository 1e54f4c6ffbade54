/**
 * Measures how late the event loop of this process is, and why. While the loop is late, all callers wait. Each long
 * delay is logged with the processor time of the main thread, the time for which it waited for a processor, the time of
 * garbage collections, and the work that was done meanwhile. So the line shows whether the process worked too long in
 * one turn or was not run by the machine. Owns its timer and the observer of garbage collections.
 */
import { PerformanceObserver, type PerformanceEntry } from 'node:perf_hooks'
import { type Clock, type Subscription } from '@eiderwind/clock'
import { type Log } from '@eiderwind/log'
import { ThreadTimesReader, type ThreadTimes } from './threadtimes.js'

/** Amounts of work that this process has done since its start, by kind. */
export type WorkTotals = Readonly<Record<string, number>>

/** Dependencies of `LoopDelays`. */
export interface LoopDelaysOptions {
  readonly clock: Clock
  readonly log: Log
  /** The work done up to now. Called at each tick. */
  readonly work: () => WorkTotals
  /** Called with the delay of each tick, in ms. */
  readonly observed: (delay: number) => void
}

/** Time between two ticks, in ms. */
const tickInterval = 50

/** Delay of a tick that is logged, in ms: half of the shortest pause between events that callers are promised. */
const loggedDelay = 100

/** How long a garbage collection is kept for a delay that is not logged yet, in ms. */
const collectionRetention = 1000

/** The state at a tick. */
interface Tick {
  /** On `Clock.now`, which is `performance.now` in production. */
  readonly at: number
  readonly thread: ThreadTimes | undefined
  readonly work: WorkTotals
}

/** Measures the delays of the event loop. */
export class LoopDelays {
  readonly #options: LoopDelaysOptions
  readonly #threadTimes = new ThreadTimesReader()
  readonly #observer = new PerformanceObserver(list => this.#collected(list.getEntries()))
  /** The garbage collections of the last ticks. */
  #collections: PerformanceEntry[] = []
  #last: Tick | undefined
  #timer: Subscription | undefined

  constructor (options: LoopDelaysOptions) {
    this.#options = options
  }

  start (): void {
    this.#threadTimes.open()
    this.#observer.observe({ entryTypes: ['gc'] })
    this.#last = this.#read()
    this.#timer = this.#options.clock.every(tickInterval, () => this.#tick())
  }

  stop (): void {
    this.#timer?.cancel()
    this.#observer.disconnect()
    this.#threadTimes.close()
  }

  #read (): Tick {
    return { at: this.#options.clock.now(), thread: this.#threadTimes.read(), work: this.#options.work() }
  }

  #tick (): void {
    const from = this.#last as Tick
    const to = this.#read()
    const late = Math.max(0, to.at - from.at - tickInterval)
    this.#last = to
    this.#options.observed(late)
    this.#collections = this.#collections.filter(each => endOf(each) > from.at - collectionRetention)
    // Garbage collections are reported in a later turn.
    if (late >= loggedDelay) this.#options.clock.after(tickInterval, () => this.#report(late, from, to))
  }

  #collected (entries: readonly PerformanceEntry[]): void {
    this.#collections.push(...entries)
  }

  #report (late: number, from: Tick, to: Tick): void {
    const { log } = this.#options
    const collections = this.#collections.filter(each => each.startTime < to.at && endOf(each) > from.at)
    const garbage = collections.reduce((sum, { duration }) => sum + duration, 0)
    const thread = from.thread === undefined || to.thread === undefined
      ? {}
      : { processor: Math.round(to.thread.processor - from.thread.processor), waited: Math.round(to.thread.waited - from.thread.waited) }
    log.write('loop-delayed', { late: Math.round(late), span: Math.round(to.at - from.at), ...thread, garbage: Math.round(garbage), ...difference(to.work, from.work) })
  }
}

function endOf ({ startTime, duration }: PerformanceEntry): number {
  return startTime + duration
}

/** The work between two readings, without the kinds of which there was none. */
function difference (after: WorkTotals, before: WorkTotals): WorkTotals {
  return Object.fromEntries(Object.entries(after).map(([kind, total]) => [kind, total - (before[kind] ?? 0)] as const).filter(([, amount]) => amount > 0))
}
