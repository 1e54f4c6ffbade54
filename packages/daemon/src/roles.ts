/**
 * Creates an entry or a worker from its settings. This is the only module that connects settings, clock, log, metrics
 * and store. It owns the order in which they are closed.
 */
import { SystemClock, type Clock } from '@eiderwind/clock'
import { Entry } from '@eiderwind/entry'
import { Log, Metric } from '@eiderwind/log'
import { type EntrySettings, type WorkerSettings } from '@eiderwind/settings'
import { HttpStore } from '@eiderwind/store'
import { splitAddress } from '@eiderwind/address'
import { Worker } from '@eiderwind/worker'
import { LoopDelays, TaskFailures, type Daemon } from '@eiderwind/life'

/** Time for closing after the last answer, in ms. */
const closeTime = 1000

/** The settings that both roles have. */
type CommonSettings = Pick<EntrySettings, 'process' | 'observe'>

/** Creates an entry from its settings. */
export function entryDaemon (settings: EntrySettings): Daemon {
  const { process: { id, data_centre: dataCentre, region }, listen, platform, operators, limits, planner } = settings
  const { log, metric } = observers(settings, 'entry')
  const clock = systemClock(log)
  const delays = loopDelays(clock, log)
  const firstOperator = operators.name === undefined || operators.token_sha256 === undefined ? undefined : { name: operators.name, token: operators.token_sha256 }
  const store = new HttpStore({ ...platform, clock, invalid: cause => log.write('controller-failed', { controller: 'nodes', cause }) })
  const entry = new Entry({
    clock,
    log,
    metric,
    store,
    id,
    dataCentre,
    region,
    ...listen,
    seeds: settings.entries.seeds,
    firstOperator,
    bodyLimit: limits.body,
    deadline: limits.deadline,
    maxStopTime: limits.stop,
    noticeTime: limits.notice,
    restartTime: planner.restart_time,
    lostAfter: planner.lost_after
  })
  return {
    log,
    maxStopTime: limits.stop + closeTime,
    start: async () => {
      delays.start()
      return { ...await entry.start() }
    },
    stop: async () => {
      await entry.stop()
      delays.stop()
      await store.close()
      metric.close()
    }
  }
}

/** Creates a worker from its settings. */
export function workerDaemon (settings: WorkerSettings): Daemon {
  const { process: { data_centre: dataCentre }, listen, node, upstream, entries, lease, limits } = settings
  const { log, metric } = observers(settings, 'worker')
  const clock = systemClock(log)
  const delays = loopDelays(clock, log)
  const worker = new Worker({
    clock,
    log,
    metric,
    node: node.id,
    dataCentre,
    listen: listen.peers,
    upstream: { kind: upstream.kind, url: upstream.url, health: upstream.check ? upstream.health : undefined },
    seeds: entries.seeds,
    period: lease.period,
    interval: lease.interval,
    skew: lease.skew,
    keyRetention: limits.keep_keys,
    maxStopTime: limits.stop
  })
  return {
    log,
    maxStopTime: limits.stop + closeTime,
    start: async () => {
      delays.start()
      return { peers: await worker.start() }
    },
    stop: async () => {
      await worker.stop()
      delays.stop()
      metric.close()
    }
  }
}

function observers ({ process: { id, data_centre: dataCentre }, observe }: CommonSettings, role: string): { log: Log, metric: Metric } {
  const log = new Log({ level: observe.level, fields: { role, id } })
  const tags = { role, id, data_centre: dataCentre }
  const metric = observe.statsd === '' ? new Metric() : new Metric({ ...splitAddress(observe.statsd), tags })
  return { log, metric }
}

/** The clock of a role: a task that throws is logged and ends alone. */
function systemClock (log: Log): Clock {
  const failures = new TaskFailures({ log, now: () => performance.now() })
  return new SystemClock(error => failures.record('timer', error))
}

/** Logs long delays of the event loop. The two roles count no work of their own. */
function loopDelays (clock: Clock, log: Log): LoopDelays {
  return new LoopDelays({ clock, log, work: () => ({}), observed: () => {} })
}
