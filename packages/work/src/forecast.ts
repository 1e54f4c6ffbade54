/**
 * Forecasts the time of first events and corrects the forecasts by measured times. Owns the prompts that heads have not
 * read yet. For each model of a service it also owns the lag: how much later first events usually come than computed
 * from the configuration, which covers only the time in which a head reads and writes. Uses no clock; the caller
 * reports measured times. Each gateway learns for itself.
 */
import { type Engine } from '@eiderwind/traffic'
import { expectedFirstEventTime, type Expectation, type HeadState, type ModelRequest } from './first.js'
import { RunningMedian } from './median.js'
import { Unread } from './unread.js'

/**
 * Maximum number of models with a stored lag. Callers choose the names, and names that no upstream serves must not grow
 * the table without bound.
 */
const maxModels = 1000

/** Forecasts first events. */
export class Forecast {
  /** Prompts that were sent and are not read yet. */
  readonly unread = new Unread()
  readonly #lags = new Map<string, RunningMedian>()

  /** Forecasts the first event of a request at a head. */
  expect ({ service, model, prompt }: ModelRequest, head: HeadState, engine: Engine): Pick<Expectation, 'time' | 'lag'> {
    const pace = engine.models.find(({ name }) => name === model)?.pace ?? 1
    const lag = this.#lag(service, model).value
    return { time: expectedFirstEventTime(prompt, head, engine, pace) + lag, lag }
  }

  /**
   * Corrects the lag of a model after the first event of a forecast request has come.
   * @param error by how much later than expected the first event came, in ms
   */
  learn ({ service, model, lag }: Pick<Expectation, 'service' | 'model' | 'lag'>, error: number): void {
    this.#lag(service, model).add(lag + error)
  }

  #lag (service: string, model: string): RunningMedian {
    const key = `${service} ${model}`
    const lag = this.#lags.get(key) ?? new RunningMedian()
    if (this.#lags.size < maxModels) this.#lags.set(key, lag)
    return lag
  }
}
