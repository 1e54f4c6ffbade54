import loglevel from 'loglevel'
import { events, type EventName, type Level } from './events.js'

/** What an event says beside its number and name. Values are never secrets. */
export type Fields = Readonly<Record<string, string | number | boolean | undefined>>

/** Takes one finished line. */
export type Sink = (line: string) => void

/** Options of a log. */
export interface LogOptions {
  /** The least level that is written. Default: `info`. */
  readonly level?: Level
  /** Where lines go. Default: standard error. */
  readonly sink?: Sink
  /** Fields that stand in every line, such as the process's id. */
  readonly fields?: Fields
}

/** A structured log: one JSON object a line, with the number of its event. */
export class Log {
  readonly #logger: loglevel.Logger
  readonly #fields: Fields

  constructor (options: LogOptions = {}) {
    const sink = options.sink ?? (line => { process.stderr.write(`${line}\n`) })
    this.#fields = options.fields ?? {}
    this.#logger = loglevel.getLogger(Symbol('eiderwind'))
    this.#logger.methodFactory = () => sink
    this.#logger.setLevel(options.level ?? 'info', false)
  }

  /** Writes one event. */
  write (name: EventName, fields: Fields = {}): void {
    const { number, level } = events[name]
    this.#logger[level](JSON.stringify({ time: new Date().toISOString(), event: number, name, level, ...this.#fields, ...fields }))
  }
}
