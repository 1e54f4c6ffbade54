/**
 * The sections, keys and defaults of the settings of each role, as zod schemas. Each message of a schema says what to write
 * instead, and stands in the problem that `read.ts` reports. Keys and their forms are the operators' interface: they stay.
 */
import { z } from 'zod'

const Address = z.string().regex(/^[^\s:]+:\d{1,5}$/, 'an address as host:port, such as 127.0.0.1:7000')
const Addresses = z.string().default('').transform(text => text.split(',').map(each => each.trim()).filter(each => each !== '')).pipe(z.array(Address))
const Id = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9.-]*$/, 'a name of letters, digits, dots and dashes')
const Span = z.coerce.number('a number of milliseconds').int('a whole number of milliseconds').positive('more than 0 milliseconds')
const Size = z.coerce.number('a number of bytes').int('a whole number of bytes').positive('more than 0 bytes')
const Flag = z.union([z.boolean(), z.enum(['true', 'false'], 'true or false').transform(text => text === 'true')])
const Url = z.url({ protocol: /^https?$/, error: 'a URL that starts with http:// or https://' })

/** Which process this is, and where it runs. */
const Process = z.strictObject({
  id: Id,
  data_centre: Id,
  /** Read by the roles `entry` and `worker`; the role `direct` only accepts it. */
  region: Id
})

/** The least level of log lines that are written. */
const Level = z.enum(['debug', 'info', 'warn', 'error'], 'one of debug, info, warn, error').default('info')

/** What is logged, and where metrics go. */
const Observe = z.strictObject({
  level: Level,
  /** `host:port` of StatsD; nothing is sent where it is empty. */
  statsd: z.union([z.literal(''), Address]).default('')
})

/** Times that have to be the same in all processes. */
const Lease = z.strictObject({
  /** How long a grant lasts. */
  period: Span.default(3000),
  /** Time between two renewals. */
  interval: Span.default(750),
  /** How far the wall clocks of callers and workers may differ. */
  skew: Span.default(2000)
})

/** Settings of the role `entry`: callers' side of a system in which a worker runs beside each upstream. */
export const EntrySettings = z.strictObject({
  process: Process,
  listen: z.strictObject({
    /** Address for callers. */
    callers: Address,
    /** Address for operators. */
    operators: Address,
    /** Address for entries and workers, as they reach it. */
    peers: Address
  }),
  platform: z.strictObject({
    url: Url,
    timeout: Span.default(2000)
  }),
  entries: z.strictObject({
    /** Peer addresses of some other entries, for a start while the platform is down. */
    seeds: Addresses
  }).prefault({}),
  operators: z.strictObject({
    /** Name of an operator who may call before the configuration names any. */
    name: Id.optional(),
    /** SHA-256 digest of that operator's token, in hex. */
    token_sha256: z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest as 64 lower-case hex digits').optional()
  }).prefault({}),
  limits: z.strictObject({
    /** Longest body of a request. */
    body: Size.default(4 * 2 ** 20),
    /** Deadline of a request that gives none. */
    deadline: Span.default(600_000),
    /** How long a stop waits for what is in flight. */
    stop: Span.default(600_000),
    /** How long a stop waits until the balancer sends no more callers: more than the time between its health checks. */
    notice: Span.default(5000)
  }).prefault({}),
  planner: z.strictObject({
    /** Silence after which a node counts as lost. */
    lost_after: Span.default(4000),
    /** How long a node that restarts is usually away. */
    restart_time: Span.default(30_000)
  }).prefault({}),
  observe: Observe.prefault({})
})
export type EntrySettings = z.infer<typeof EntrySettings>

/** A span with its unit, such as `250 ms` or `8 s`; ms where there is none. */
const Time = z.string().regex(/^\d+(\.\d+)? ?(ms|s)?$/, 'a time such as 250 ms or 8 s').transform(text => parseFloat(text) * (/[^m]s$/.test(text) ? 1000 : 1))
const Share = z.string().regex(/^\d+(\.\d+)?$/, 'a number of 0 or more').transform(Number)

/** Bytes in each unit of `Bytes`. */
const byteUnits = { B: 1, KiB: 2 ** 10, MiB: 2 ** 20 } as const

/** An amount of memory with its unit, such as `64 KiB` or `32 MiB`; bytes where there is none. */
const Bytes = z.string().regex(/^\d+ ?(B|KiB|MiB)?$/, 'an amount such as 64 KiB or 32 MiB').transform(text => parseInt(text) * byteUnits[(/[A-Z].*$/i.exec(text)?.[0] ?? 'B') as keyof typeof byteUnits])

/** A time of which another program has filled in nothing but its unit. */
const emptyTime = /^ ?(ms|s)?$/

/** A time that another program fills in and may leave empty, with or without its unit; `fallback` then counts. */
function time (fallback: string) {
  return z.string().default('').transform(text => emptyTime.test(text) ? fallback : text).pipe(Time)
}

/** A time that another program fills in and may leave empty, with or without its unit; what it bounds is then not done. */
const OptionalTime = z.string().default('').transform(text => emptyTime.test(text) ? undefined : text).pipe(Time.optional())

/** A share that another program fills in and may leave empty; `fallback` then counts. */
function share (fallback: string) {
  return z.string().default('').transform(text => text === '' ? fallback : text).pipe(Share)
}

/** An amount of which another program has filled in nothing but its unit. */
const emptyAmount = /^ ?(B|KiB|MiB)?$/

/** A limit that another program fills in and may leave empty, with or without its unit: there is none then. */
function optionalLimit (limit: z.ZodType<number, string>) {
  return z.string().default('').transform(text => emptyAmount.test(text) ? undefined : text).pipe(limit.optional())
}

/** A share that another program fills in and may leave empty: what it is for is then off. */
const optionalShare = z.string().default('').transform(text => text === '' ? undefined : text).pipe(Share.optional())

/**
 * Settings of the role `direct`: a gateway on the users' platform, which calls upstreams directly. The role keeps its name
 * since operators write it (`eiderwind check --role direct`). The template of these files is `platform/settings.ini`.
 */
export const DirectSettings = z.strictObject({
  process: Process.extend({
    /** Whether the whole system starts for the first time, so that no caller can have been served yet. */
    first: z.union([z.literal('').transform(() => false), Flag]).default(false)
  }),
  listen: z.strictObject({
    /** Address for callers. */
    callers: Address,
    /** Address for the balancer's health checks. */
    health: Address,
    /** Address for the other gateways, TCP and UDP. */
    peers: Address
  }),
  platform: z.strictObject({
    /** Address of the platform's store. */
    store: Address
  }),
  bounds: z.strictObject({
    /** How long after its removal a key may still be served. */
    revoke: time('5 s'),
    /** Whether `revoke` holds also while the store is away: keys then need a confirmation of the configuration that is younger. */
    strict_keys: z.union([z.literal('').transform(() => true), Flag]).default(true),
    /** How long after an upstream said that it leaves it may still get requests. */
    drain: time('2 s'),
    /** How long after the operator has evacuated a data centre its upstreams may still get requests; without it evacuations are not looked for. */
    evacuate: OptionalTime,
    /** Time from SIGTERM until the platform kills the process. */
    grace: time('8 s'),
    /** Time between two heartbeats of an upstream. */
    pulse: time('1200 ms'),
    /** Retries for each request of callers that are allowed in a window. */
    retry_ratio: share('0.1'),
    /** Retries beside those that all gateways together may make in a window. */
    retry_slack: share('20'),
    /** Length of the sliding window in which retries are counted. */
    retry_window: time('10 s'),
    /** What a cold upstream may get from all gateways in a second: this times the rate that the configuration gives, and `cold_slack`. Empty: upstreams do not count as cold. */
    cold_overshoot: optionalShare,
    /** Requests beside those. */
    cold_slack: optionalShare
  }).prefault({}),
  room: z.strictObject({
    /** Whether requests that wait for room are served by teams' shares and by the time they have left, instead of by age. */
    fair: Flag.default(false),
    /** Whether one gateway issues the places at a model's heads for all gateways where they are scarce. */
    shared: Flag.default(false)
  }).prefault({}),
  unread: z.strictObject({
    /** What is kept of the answer of one caller that has not read it, before its upstream is read no further. */
    caller: Bytes.default(32 * 2 ** 10),
    /** What is kept for all callers together. */
    total: Bytes.default(32 * 2 ** 20),
    /** How long a caller may read nothing of it before its connection is closed. */
    patience: Time.default(10_000)
  }).prefault({}),
  readiness: z.strictObject({
    /** How late the event loop may be on average before new callers are sent to other gateways. Empty: it does not matter. */
    lateness: OptionalTime,
    /** Memory that the process may use. Empty: unlimited. */
    memory: optionalLimit(Bytes),
    /** Descriptors that it may use. Empty: unlimited. */
    descriptors: optionalLimit(z.string().regex(/^\d+$/, 'a whole number').transform(Number))
  }).prefault({}),
  planner: z.strictObject({
    /** How long an engine whose entry went, and that answers, is kept in its replica; 0: it counts as missing at once. */
    keep_unlisted: time('0 ms'),
    /** Whether spares load weights from their host's memory before a replica needs them, and hold a second model beside. */
    warm_spares: Flag.default(false)
  }).prefault({}),
  observe: z.strictObject({
    level: Level,
    /** `host:port` on which the metrics are served in text form; they are not served where it is empty. */
    metrics: z.union([z.literal(''), Address]).default('')
  }).prefault({})
})
export type DirectSettings = z.infer<typeof DirectSettings>

/** Settings of the role `worker`: the process beside one upstream of a system with entries. */
export const WorkerSettings = z.strictObject({
  process: Process,
  listen: z.strictObject({
    /** Address for entries and other workers, as they reach it. */
    peers: Address
  }),
  node: z.strictObject({
    /** Id of the node in the platform's node list. */
    id: Id
  }),
  upstream: z.strictObject({
    kind: z.enum(['engine', 'service'], 'engine or service'),
    /** Where the engine or plain service listens. */
    url: Url,
    /** Path that answers 200 while a plain service is up. */
    health: z.string().startsWith('/', 'a path that starts with /').default('/health'),
    /** Whether the engine or service counts as down when its health path does not answer. */
    check: Flag.default(true)
  }),
  entries: z.strictObject({
    /** Peer addresses of some entries. */
    seeds: Addresses.refine(seeds => seeds.length > 0, 'at least one address')
  }),
  lease: Lease.prefault({}),
  limits: z.strictObject({
    /** How long a stop waits for what is in flight. */
    stop: Span.default(600_000),
    /** How long an idempotency key is remembered. */
    keep_keys: Span.default(600_000)
  }).prefault({}),
  observe: Observe.prefault({})
})
export type WorkerSettings = z.infer<typeof WorkerSettings>

/** What a process does. `entry` and `worker` are roles of the daemon, `direct` is that of the program in `platform`. */
export type Role = 'entry' | 'worker' | 'direct'

/** The schema of each role's settings. */
export const shapes = { entry: EntrySettings, worker: WorkerSettings, direct: DirectSettings }
