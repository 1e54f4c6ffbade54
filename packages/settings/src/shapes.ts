/**
 * The sections, keys and defaults of the settings of each role, as zod schemas. The message of each schema completes
 * the remedy "Give ..." of the problem that `read.ts` reports. Operators write the keys and their values, so neither
 * the names nor the accepted forms may change.
 */
import { Address, ListenAddress } from '@eiderwind/address'
import { z } from 'zod'

const Addresses = z.string().default('').transform(text => text.split(',').map(each => each.trim()).filter(each => each !== '')).pipe(z.array(Address))
const Id = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9.-]*$/, 'a name of letters, digits, dots and dashes')
const Milliseconds = z.coerce.number('a number of milliseconds').int('a whole number of milliseconds').positive('more than 0 milliseconds')
const ByteCount = z.coerce.number('a number of bytes').int('a whole number of bytes').positive('more than 0 bytes')
const Flag = z.union([z.boolean(), z.enum(['true', 'false'], 'true or false').transform(text => text === 'true')])
const Url = z.url({ protocol: /^https?$/, error: 'a URL that starts with http:// or https://' })

/** The identity of the process and its location. */
const Process = z.strictObject({
  id: Id,
  data_centre: Id,
  /** Read by the roles `entry` and `worker`; the role `direct` only accepts it. */
  region: Id
})

/** The lowest level of events that are logged. */
const Level = z.enum(['debug', 'info', 'warn', 'error'], 'one of debug, info, warn, error').default('info')

/** The log level and the receiver of metrics. */
const Observe = z.strictObject({
  level: Level,
  /** `host:port` of StatsD. If empty, no metrics are sent. */
  statsd: z.union([z.literal(''), Address]).default('')
})

/** Times that must be the same in all processes. */
const Lease = z.strictObject({
  /** Duration of a grant. */
  period: Milliseconds.default(3000),
  /** Time between two renewals. */
  interval: Milliseconds.default(750),
  /** How far the wall clocks of callers and workers may differ. */
  skew: Milliseconds.default(2000)
})

/**
 * Settings of the role `entry`: the process that callers connect to. A system with entries has a worker beside each
 * upstream.
 */
export const EntrySettings = z.strictObject({
  process: Process,
  listen: z.strictObject({
    /** Address for callers. */
    callers: ListenAddress,
    /** Address for operators. */
    operators: ListenAddress,
    /** Address at which other entries and workers reach this process. */
    peers: ListenAddress
  }),
  platform: z.strictObject({
    url: Url,
    timeout: Milliseconds.default(2000)
  }),
  entries: z.strictObject({
    /** Peer addresses of some other entries. They are used if the platform is down when the process starts. */
    seeds: Addresses
  }).prefault({}),
  operators: z.strictObject({
    /** Name of an operator who may make calls while the configuration contains no operator. */
    name: Id.optional(),
    /** SHA-256 digest of that operator's token, in hex. */
    token_sha256: z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest as 64 lower-case hex digits').optional()
  }).prefault({}),
  limits: z.strictObject({
    /** Maximum size of a request body, in bytes. */
    body: ByteCount.default(4 * 2 ** 20),
    /** Deadline of a request that has no deadline of its own. */
    deadline: Milliseconds.default(600_000),
    /** How long a stop waits for what is in flight. */
    stop: Milliseconds.default(600_000),
    /**
     * How long a stop waits before the process stops listening, so that the balancer can notice and send no more
     * callers. Must be longer than the interval of the balancer's health checks.
     */
    notice: Milliseconds.default(5000)
  }).prefault({}),
  planner: z.strictObject({
    /** Time without a report after which a node counts as lost. */
    lost_after: Milliseconds.default(4000),
    /** How long a restart of a node usually takes. */
    restart_time: Milliseconds.default(30_000)
  }).prefault({}),
  observe: Observe.prefault({})
})
export type EntrySettings = z.infer<typeof EntrySettings>

/** A duration with its unit, such as `250 ms` or `8 s`. Without a unit it is in ms. */
const Duration = z.string().regex(/^\d+(\.\d+)? ?(ms|s)?$/, 'a time such as 250 ms or 8 s').transform(text => parseFloat(text) * (/[^m]s$/.test(text) ? 1000 : 1))
const NonNegative = z.string().regex(/^\d+(\.\d+)?$/, 'a number of 0 or more').transform(Number)

/** Number of bytes in each unit of `Bytes`. */
const byteUnits = { B: 1, KiB: 2 ** 10, MiB: 2 ** 20 } as const

/** An amount of memory with its unit, such as `64 KiB` or `32 MiB`. Without a unit it is in bytes. */
const Bytes = z.string().regex(/^\d+ ?(B|KiB|MiB)?$/, 'an amount such as 64 KiB or 32 MiB').transform(text => parseInt(text) * byteUnits[(/[A-Z].*$/i.exec(text)?.[0] ?? 'B') as keyof typeof byteUnits])

/** Matches a duration that the platform left empty, or in which it filled in only the unit. */
const emptyDuration = /^ ?(ms|s)?$/

/** A duration that the platform may leave empty, with or without its unit. `fallback` then applies. */
function durationOr (fallback: string) {
  return z.string().default('').transform(text => emptyDuration.test(text) ? fallback : text).pipe(Duration)
}

/** A duration that the platform may leave empty, with or without its unit. The limit or check is then off. */
const OptionalDuration = z.string().default('').transform(text => emptyDuration.test(text) ? undefined : text).pipe(Duration.optional())

/** A number that the platform may leave empty. `fallback` then applies. */
function numberOr (fallback: string) {
  return z.string().default('').transform(text => text === '' ? fallback : text).pipe(NonNegative)
}

/** Matches an amount that the platform left empty, or in which it filled in only the unit. */
const emptyAmount = /^ ?(B|KiB|MiB)?$/

/** A limit that the platform may leave empty, with or without its unit. There is then no limit. */
function optionalLimit (limit: z.ZodType<number, string>) {
  return z.string().default('').transform(text => emptyAmount.test(text) ? undefined : text).pipe(limit.optional())
}

/** A number that the platform may leave empty. The feature that needs it is then disabled. */
const OptionalNumber = z.string().default('').transform(text => text === '' ? undefined : text).pipe(NonNegative.optional())

/**
 * Settings of the role `direct`: a gateway on the users' platform, which calls upstreams directly. The name of the role
 * must not change because operators write it (`eiderwind check --role direct`). The template of these files is
 * `platform/settings.ini`; the platform fills in its values.
 */
export const DirectSettings = z.strictObject({
  process: Process.extend({
    /** Whether the whole system starts for the first time, so that no caller has been served yet. */
    first: z.union([z.literal('').transform(() => false), Flag]).default(false)
  }),
  listen: z.strictObject({
    /** Address for callers. */
    callers: ListenAddress,
    /** Address for the balancer's health checks. */
    health: ListenAddress,
    /** Address for the other gateways, TCP and UDP. */
    peers: ListenAddress
  }),
  platform: z.strictObject({
    /** Address of the platform's store. */
    store: Address
  }),
  bounds: z.strictObject({
    /** How long requests with an API key may still be served after the key was removed. */
    revoke: durationOr('5 s'),
    /**
     * Whether `revoke` also holds while the store is unreachable. Requests with API keys then need a confirmation of
     * the configuration that is younger than `revoke`.
     */
    strict_keys: z.union([z.literal('').transform(() => true), Flag]).default(true),
    /** How long an upstream may still get requests after it announced that it is leaving. */
    drain: durationOr('2 s'),
    /**
     * How long upstreams of a data centre may still get requests after the operator evacuated it. Empty: the gateway
     * does not check for evacuations.
     */
    evacuate: OptionalDuration,
    /** Time from SIGTERM until the platform kills the process. */
    grace: durationOr('8 s'),
    /** Time between two heartbeats of an upstream. */
    pulse: durationOr('1200 ms'),
    /** Number of retries that are allowed for each request that callers send in a window. */
    retry_ratio: numberOr('0.1'),
    /** Retries that all gateways together may make in a window in addition to those of `retry_ratio`. */
    retry_slack: numberOr('20'),
    /** Length of the sliding window in which retries are counted. */
    retry_window: durationOr('10 s'),
    /**
     * Factor of the limit for a cold upstream. All gateways together may send it `cold_overshoot` times the rate in the
     * configuration, plus `cold_slack`, in requests per second. Empty: upstreams do not count as cold.
     */
    cold_overshoot: OptionalNumber,
    /** Constant part of the limit for a cold upstream, in requests per second. */
    cold_slack: OptionalNumber
  }).prefault({}),
  room: z.strictObject({
    /**
     * Whether requests that wait for room are served by team shares and by the time they have left, instead of by age.
     */
    fair: Flag.default(false),
    /** Whether one gateway issues the places at a model's heads to all gateways while places are scarce. */
    shared: Flag.default(false)
  }).prefault({}),
  unread: z.strictObject({
    /** Maximum number of unread bytes of one caller's answer. Beyond it, reading from the upstream pauses. */
    caller: Bytes.default(32 * 2 ** 10),
    /** Maximum number of unread bytes of all callers together. */
    total: Bytes.default(32 * 2 ** 20),
    /** Time after which the connection of a caller is closed if it has unread bytes and reads none of them. */
    patience: Duration.default(10_000)
  }).prefault({}),
  overload: z.strictObject({
    /**
     * How long new connections may queue without a break until some are closed unread, so that their callers go to
     * other gateways. Empty: for any time.
     */
    wait: OptionalDuration,
    /** Upper bound on the bytes of callers' requests that are held until these have ended. */
    bodies: Bytes.default(64 * 2 ** 20)
  }).prefault({}),
  readiness: z.strictObject({
    /** Mean lateness of the event loop above which new callers are sent to other gateways. Empty: unlimited. */
    lateness: OptionalDuration,
    /** Memory that the process may use. Empty: unlimited. */
    memory: optionalLimit(Bytes),
    /** Number of file descriptors that the process may use. Empty: unlimited. */
    descriptors: optionalLimit(z.string().regex(/^\d+$/, 'a whole number').transform(Number))
  }).prefault({}),
  planner: z.strictObject({
    /** How long an unlisted engine that answers is retained in its replica. 0: it counts as missing at once. */
    keep_unlisted: durationOr('0 ms'),
    /** Whether spares load weights from their host's memory before a replica needs them, and hold a second model. */
    warm_spares: Flag.default(false)
  }).prefault({}),
  observe: z.strictObject({
    level: Level,
    /** `host:port` at which the metrics are served in text form. If empty, they are not served. */
    metrics: z.union([z.literal(''), ListenAddress]).default('')
  }).prefault({})
})
export type DirectSettings = z.infer<typeof DirectSettings>

/** Settings of the role `worker`: the process beside one upstream of a system with entries. */
export const WorkerSettings = z.strictObject({
  process: Process,
  listen: z.strictObject({
    /** Address at which entries and other workers reach this process. */
    peers: ListenAddress
  }),
  node: z.strictObject({
    /** Id of the node in the node list of the platform. */
    id: Id
  }),
  upstream: z.strictObject({
    kind: z.enum(['engine', 'service'], 'engine or service'),
    /** URL of the engine or plain service. */
    url: Url,
    /** Path at which a plain service answers 200 while it is up. */
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
    stop: Milliseconds.default(600_000),
    /** How long an idempotency key is stored. */
    keep_keys: Milliseconds.default(600_000)
  }).prefault({}),
  observe: Observe.prefault({})
})
export type WorkerSettings = z.infer<typeof WorkerSettings>

/** The role of a process. `entry` and `worker` belong to the daemon, and `direct` to the program in `platform`. */
export type Role = 'entry' | 'worker' | 'direct'

/** The schema of each role's settings. */
export const schemas = { entry: EntrySettings, worker: WorkerSettings, direct: DirectSettings }
