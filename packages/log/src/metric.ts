import { StatsD } from 'hot-shots'

/** The metrics that the system sends, with their kind and meaning, for docs/operators/metrics.md. */
export const metrics = {
  'request.count': { kind: 'counter', text: 'Requests answered, tagged with service, team and status.' },
  'request.first_byte_ms': { kind: 'timing', text: 'Time from a request to the first byte of its answer.' },
  'request.total_ms': { kind: 'timing', text: 'Time from a request to the end of its answer.' },
  'request.retry': { kind: 'counter', text: 'Attempts after the first one.' },
  'request.resumed': { kind: 'counter', text: 'Streams resumed on another replica.' },
  'request.unknown': { kind: 'counter', text: 'Requests that ended with outcome unknown.' },
  'answer.foreign': { kind: 'counter', text: 'Answers dropped because they named another attempt.' },
  'stream.open': { kind: 'gauge', text: 'Streams open in this process.' },
  'admission.running': { kind: 'gauge', text: 'Requests running in this worker.' },
  'admission.queued': { kind: 'gauge', text: 'Requests waiting in this worker.' },
  'admission.refused': { kind: 'counter', text: 'Requests refused by the admission queue.' },
  'replica.serving': { kind: 'gauge', text: '1 while this head holds every grant, else 0.' },
  'configuration.revision': { kind: 'gauge', text: 'The revision in force in this process.' }
} as const

/** The name of a metric. */
export type MetricName = keyof typeof metrics

/** Tags of a metric. */
export type Tags = Readonly<Record<string, string>>

/** Where StatsD listens. */
export interface MetricOptions {
  readonly host: string
  readonly port: number
  /** Tags that stand in every metric. */
  readonly tags?: Tags
}

/** Sends the system's metrics to StatsD over UDP; sends nothing where no address is set. */
export class Metric {
  readonly #client: StatsD | undefined

  constructor (options?: MetricOptions) {
    if (options === undefined) return
    this.#client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: 'eiderwind.',
      globalTags: { ...options.tags },
      maxBufferSize: 1400,
      bufferFlushInterval: 500,
      errorHandler: () => {}
    })
  }

  count (name: MetricName, tags: Tags = {}): void {
    this.#client?.increment(name, 1, { ...tags })
  }

  timing (name: MetricName, ms: number, tags: Tags = {}): void {
    this.#client?.timing(name, ms, { ...tags })
  }

  gauge (name: MetricName, value: number, tags: Tags = {}): void {
    this.#client?.gauge(name, value, { ...tags })
  }

  /** Sends what is buffered and closes the socket. */
  close (): void {
    this.#client?.close(() => {})
  }
}
