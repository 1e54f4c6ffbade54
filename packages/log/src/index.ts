/** The structured log, its catalogue of events, the bounded writer of log lines, and the StatsD metrics. */
export { events, type Event, type EventName, type Level } from './events.js'
export { Log, type Fields, type LogOptions, type Sink } from './log.js'
export { Metric, metrics, type MetricName, type MetricOptions, type Tags } from './metric.js'
export { LineWriter, type LineWriterOptions } from './linewriter.js'
