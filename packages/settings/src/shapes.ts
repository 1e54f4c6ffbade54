import { z } from 'zod'

const Address = z.string().regex(/^[^\s:]+:\d{1,5}$/, 'an address as host:port, such as 127.0.0.1:7000')
const Addresses = z.string().default('').transform(text => text.split(',').map(each => each.trim()).filter(each => each !== '')).pipe(z.array(Address))
const Id = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9.-]*$/, 'a name of letters, digits, dots and dashes')
const Span = z.coerce.number('a number of milliseconds').int('a whole number of milliseconds').positive('more than 0 milliseconds')
const Size = z.coerce.number('a number of bytes').int('a whole number of bytes').positive('more than 0 bytes')
const Flag = z.union([z.boolean(), z.enum(['true', 'false'], 'true or false').transform(text => text === 'true')])
const Url = z.url({ protocol: /^https?$/, error: 'a URL that starts with http:// or https://' })

/** Who and where the process is. */
const Process = z.strictObject({
  id: Id,
  data_centre: Id,
  region: Id
})

/** What is logged, and where metrics go. */
const Observe = z.strictObject({
  level: z.enum(['debug', 'info', 'warn', 'error'], 'one of debug, info, warn, error').default('info'),
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

export const EntrySettings = z.strictObject({
  process: Process,
  listen: z.strictObject({
    /** Address for callers. */
    callers: Address,
    /** Address for operators. */
    operators: Address,
    /** Address for the system's own processes, as they reach it. */
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
    /** How long the balancer gets to notice that this entry leaves: more than the time between its health checks. */
    notice: Span.default(5000)
  }).prefault({}),
  planner: z.strictObject({
    /** Silence after which a node counts as lost. */
    lost_after: Span.default(4000),
    /** How long a node that restarts is away, as a rule. */
    restart_time: Span.default(30_000)
  }).prefault({}),
  observe: Observe.prefault({})
})
export type EntrySettings = z.infer<typeof EntrySettings>

/** A span with its unit, such as `250 ms` or `8 s`; ms where there is none. */
const Time = z.string().regex(/^\d+(\.\d+)? ?(ms|s)?$/, 'a time such as 250 ms or 8 s').transform(text => parseFloat(text) * (/[^m]s$/.test(text) ? 1000 : 1))
const Share = z.string().regex(/^\d+(\.\d+)?$/, 'a number of 0 or more').transform(Number)

/** A time that is taken from elsewhere and may be missing there. */
function time (fallback: string) {
  return z.string().default('').transform(text => /^ ?(ms|s)?$/.test(text) ? fallback : text).pipe(Time)
}

function share (fallback: string) {
  return z.string().default('').transform(text => text === '' ? fallback : text).pipe(Share)
}

/** An entry before upstreams that it calls directly. */
export const DirectSettings = z.strictObject({
  process: Process.extend({
    /** Whether the whole system starts for the first time. */
    first: z.union([z.literal('').transform(() => false), Flag]).default(false)
  }),
  listen: z.strictObject({
    /** Address for callers, and the one at which the balancer asks whether this entry takes them. */
    callers: Address,
    health: Address,
    /** Address for the other entries, TCP and UDP. */
    peers: Address
  }),
  platform: z.strictObject({
    /** Address of the platform's store. */
    store: Address
  }),
  bounds: z.strictObject({
    /** A key that was taken away must not be served for longer than this. */
    revoke: time('5 s'),
    /** Time from the word to stop until the process is killed. */
    grace: time('8 s'),
    /** Time between two heartbeats of an upstream. */
    pulse: time('1200 ms'),
    /** Repeats for each request, and how many more all entries may make in a window. */
    retry_ratio: share('0.1'),
    retry_slack: share('20'),
    retry_window: time('10 s')
  }).prefault({}),
  observe: z.strictObject({
    level: z.enum(['debug', 'info', 'warn', 'error'], 'one of debug, info, warn, error').default('info'),
    /** `host:port` on which the metrics are told in text form; nowhere where it is empty. */
    metrics: z.union([z.literal(''), Address]).default('')
  }).prefault({})
})
export type DirectSettings = z.infer<typeof DirectSettings>

export const WorkerSettings = z.strictObject({
  process: Process,
  listen: z.strictObject({
    /** Address for entries and other workers, as they reach it. */
    peers: Address
  }),
  node: z.strictObject({
    /** Id of the node as the platform lists it. */
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

/** The roles that the daemon has. */
export type Role = 'entry' | 'worker' | 'direct'

export const shapes = { entry: EntrySettings, worker: WorkerSettings, direct: DirectSettings }
