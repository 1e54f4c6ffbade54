/**
 * The structured log: one JSON object a line, with the number of its event. A process makes one `Log` and passes it to its
 * parts. It relies on the catalogue in `events.ts`, and on its callers to keep secrets out of fields.
 */
import loglevel from 'loglevel'
import { events, type EventName, type Level } from './events.js'

/** What each line says of itself: no field of an event may take one of these names, since it would replace it. */
interface Reserved {
  readonly time?: never
  readonly event?: never
  readonly name?: never
  readonly level?: never
}

/** Fields of an event beside its number and name. Never keys or tokens. */
export type Fields = Readonly<Record<string, string | number | boolean | undefined>> & Reserved

/** Takes one line, without its line break. */
export type Sink = (line: string) => void

/** Options of a log. */
export interface LogOptions {
  /** Lowest level that is written. Default: `info`. */
  readonly level?: Level
  /** Where lines go. Default: standard error. */
  readonly sink?: Sink
  /** Fields of every line, such as the process's id. */
  readonly fields?: Fields
}

/** Writes events as lines. */
export class Log {
  readonly #logger: loglevel.Logger
  readonly #fields: Fields

  constructor (options: LogOptions = {}) {
    const sink = options.sink ?? (line => { process.stderr.write(`${line}\n`) })
    this.#fields = options.fields ?? {}
    // The library keeps loggers by name; a symbol of its own keeps two logs of one process apart.
    this.#logger = loglevel.getLogger(Symbol('eiderwind'))
    this.#logger.methodFactory = () => sink
    this.#logger.setLevel(options.level ?? 'info', false)
  }

  /** Writes an event. */
  write (name: EventName, fields: Fields = {}): void {
    const { number, level } = events[name]
    this.#logger[level](JSON.stringify({ time: new Date().toISOString(), event: number, name, level, ...this.#fields, ...fields }))
  }
}
