/**
 * The StatsD metrics of the roles `entry` and `worker`. Names and kinds are an interface. docs/operators/metrics.md
 * contains the same list, and a test compares them. The gateway has its own metrics in the format of Prometheus
 * (`gateway/src/metrics.ts`).
 */
import { StatsD } from 'hot-shots'

/** Maximum size of a datagram, in bytes. With the IP and UDP headers it fits into an Ethernet frame of 1500 bytes. */
const datagramSize = 1400

/** How long metrics are collected for one datagram, in ms. */
const flushInterval = 500

/** All metrics by name, with kind and meaning. */
export const metrics = {
  'request.count': { kind: 'counter', text: 'Requests answered, by service, team and status.' },
  'request.first_byte_ms': { kind: 'timing', text: 'Time from a request to the first byte of its answer.' },
  'request.total_ms': { kind: 'timing', text: 'Time from a request to the end of its answer.' },
  'request.retry': { kind: 'counter', text: 'Attempts after the first one of a request.' },
  'request.resumed': { kind: 'counter', text: 'Streams resumed on another replica.' },
  'request.unknown': { kind: 'counter', text: 'Requests that ended with outcome `unknown`.' },
  'answer.foreign': { kind: 'counter', text: 'Answers dropped because they belong to another attempt.' },
  'stream.open': { kind: 'gauge', text: 'Streams open in this process.' },
  'admission.running': { kind: 'gauge', text: 'Requests running in this worker.' },
  'admission.queued': { kind: 'gauge', text: 'Requests queued in this worker.' },
  'admission.refused': { kind: 'counter', text: 'Requests refused by the admission queue.' },
  'replica.serving': { kind: 'gauge', text: '1 while this head holds a lease from every member, else 0.' },
  'configuration.revision': { kind: 'gauge', text: 'Revision of the configuration in force in this process.' }
} as const

/** The name of a metric. */
export type MetricName = keyof typeof metrics

/** Tags of a metric. */
export type Tags = Readonly<Record<string, string>>

/** The address of StatsD, and the tags of every metric. */
export interface MetricOptions {
  readonly host: string
  readonly port: number
  /** Tags that are added to every metric. */
  readonly tags?: Tags
}

/** Sends metrics to StatsD over UDP. Without options it sends nothing. */
export class Metric {
  readonly #client: StatsD | undefined

  constructor (options?: MetricOptions) {
    if (options === undefined) return
    this.#client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: 'eiderwind.',
      globalTags: { ...options.tags },
      maxBufferSize: datagramSize,
      bufferFlushInterval: flushInterval,
      // A lost metric must not cause a failure or fill the log. StatsD shows the gap.
      errorHandler: () => {}
    })
  }

  count (name: MetricName, tags: Tags = {}): void {
    this.#client?.increment(name, 1, { ...tags })
  }

  /** @param ms a duration, in ms */
  timing (name: MetricName, ms: number, tags: Tags = {}): void {
    this.#client?.timing(name, ms, { ...tags })
  }

  gauge (name: MetricName, value: number, tags: Tags = {}): void {
    this.#client?.gauge(name, value, { ...tags })
  }

  /** Sends the buffered metrics and closes the socket. */
  close (): void {
    // The process ends next. A metric that cannot be sent is dropped, as in `errorHandler`.
    this.#client?.close(() => {})
  }
}
