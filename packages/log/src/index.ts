/** Numbered structured log events, and the metrics that go to StatsD. */
export { events, type Event, type EventName, type Level } from './events.js'
export { Log, type Fields, type LogOptions, type Sink } from './log.js'
export { Metric, metrics, type MetricName, type MetricOptions, type Tags } from './metric.js'
export { Bounded, type BoundedOptions } from './bounded.js'
