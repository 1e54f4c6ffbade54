/**
 * The structured log: one JSON object per line, with the number of the event. A process creates one `Log` and passes it
 * to its parts. It relies on the catalogue in `events.ts`, and on its callers not to put secrets into fields.
 */
import loglevel from 'loglevel'
import { events, type EventName, type Level } from './events.js'

/**
 * Names of the fields that every line has. No field of an event may have one of these names, because its value would
 * replace the common value.
 */
interface ReservedFields {
  readonly time?: never
  readonly event?: never
  readonly name?: never
  readonly level?: never
}

/** Fields of an event in addition to its number and name. They must not contain keys or tokens. */
export type Fields = Readonly<Record<string, string | number | boolean | undefined>> & ReservedFields

/** Receives one line, without its line break, and the level of its event. */
export type Sink = (line: string, level: Level) => void

/** Options of a log. */
export interface LogOptions {
  /** Lowest level that is written. Default: `info`. */
  readonly level?: Level
  /** Receives each line. Default: writes it to standard error. */
  readonly sink?: Sink
  /** Fields that are added to every line, such as the id of the process. */
  readonly fields?: Fields
}

/** Writes events as lines of JSON. */
export class Log {
  readonly #logger: loglevel.Logger
  readonly #fields: Fields

  constructor (options: LogOptions = {}) {
    const sink = options.sink ?? (line => { process.stderr.write(`${line}\n`) })
    this.#fields = options.fields ?? {}
    // The library shares loggers with the same name. A new symbol as the name keeps two logs of one process separate.
    this.#logger = loglevel.getLogger(Symbol('eiderwind'))
    this.#logger.methodFactory = level => line => sink(line, level as Level)
    this.#logger.setLevel(options.level ?? 'info', false)
  }

  /** Writes an event. */
  write (name: EventName, fields: Fields = {}): void {
    const { number, level } = events[name]
    this.#logger[level](JSON.stringify({ time: new Date().toISOString(), event: number, name, level, ...this.#fields, ...fields }))
  }
}
