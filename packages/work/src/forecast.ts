/**
 * Forecasts of first events, and what they are corrected by. Owns the prompts that heads have not read yet, and for each model of a service how much later first events usually come
 * than the configuration's figures say: what a head needs beside reading and writing is not among these. Pure: told what came. Each gateway learns for itself.
 */
import { type Engine } from '@eiderwind/traffic'
import { expectedFirst, type Expectation, type HeadState, type Subject } from './first.js'
import { RunningMedian } from './median.js'
import { Unread } from './unread.js'

/** Models of which the lag is kept: callers name them, and a name that nothing serves must not grow the table. */
const mostModels = 1000

/** Forecasts first events. */
export class Forecast {
  /** Prompts that were sent and are not read yet. */
  readonly unread = new Unread()
  readonly #lags = new Map<string, RunningMedian>()

  /** When the first event of a request can be expected at a head. */
  expect ({ service, model, prompt }: Subject, head: HeadState, engine: Engine): Pick<Expectation, 'time' | 'lag'> {
    const pace = engine.models.find(({ name }) => name === model)?.pace ?? 1
    const lag = this.#lag(service, model).value
    return { time: expectedFirst(prompt, head, engine, pace) + lag, lag }
  }

  /** Takes in how an expectation came true. @param error by how much later than expected the first event came, in ms */
  learn ({ service, model, lag }: Pick<Expectation, 'service' | 'model' | 'lag'>, error: number): void {
    this.#lag(service, model).add(lag + error)
  }

  #lag (service: string, model: string): RunningMedian {
    const key = `${service} ${model}`
    const lag = this.#lags.get(key) ?? new RunningMedian()
    if (this.#lags.size < mostModels) this.#lags.set(key, lag)
    return lag
  }
}
