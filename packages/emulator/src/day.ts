/**
 * Simulates a day of a deployment's engines under the real planner. Single engines and whole domains die and return,
 * engines are added, orders stay unanswered, and callers request models. Owns the schema of a day, which an operator
 * can fill in from the data of a deployment, and the measurement of what callers lost because replicas were missing.
 *
 * The network, the gateways and the course of a request are not emulated: requests are only counted. A replica serves
 * as many requests at once as it has slots. Requests of a model beyond the slots of all its replicas are not served.
 */
import { ManualClock, seeded, type Random } from '@eiderwind/clock'
import { MemoryPlacements, type Demand } from '@eiderwind/forming'
import { Service } from '@eiderwind/traffic'
import { z } from 'zod'
import { EmulatedEngines, type EngineService } from './engines.js'
import { advance, createPlanner } from './planner.js'

/** A duration, in ms. */
const Span = z.number().min(0)

/** The schema of a day: the engines, their faults and the demand. Times count from the first request. */
export const Day = z.object({
  /** The service, as in the configuration. */
  service: Service,
  domains: z.int().min(1),
  /** Engines in each domain at the start. */
  nodes: z.int().min(1),
  /** Time before the first request, in which the engines form replicas. */
  lead: Span,
  /** Time during which requests arrive. */
  length: Span,
  /** What callers request. */
  demand: z.array(z.object({
    model: z.string(),
    /** Number of concurrent requests. */
    requests: z.number().min(0),
    /** Value of one served request. */
    credit: z.number().min(0)
  })),
  /** Mean time between two deaths of single engines, and the time until a dead one returns. */
  deaths: z.object({ every: Span, gone: Span }),
  /** Time for which a whole domain is dead. It dies at a random moment. Absent: no domain dies. */
  dark: Span.optional(),
  /** Mean time between two additions of an empty engine. Absent: no engine is added. */
  added: Span.optional(),
  /**
   * Share of the live engines that lose the store at a random moment, and for how long. Absent: all engines always
   * reach it.
   */
  lapse: z.object({ share: z.number().min(0).max(1), time: Span }).optional(),
  /** The setting `keep_unlisted` of the planner. */
  keepUnlisted: Span.default(0),
  /** The setting `warm_spares` of the planner. */
  warmSpares: z.boolean().default(false),
  /** Share of the orders that stay unanswered and are carried out within 12 s, in the middle third of the day. */
  late: z.number().min(0).max(1).default(0)
})
export type Day = z.infer<typeof Day>

/** The result of a day. */
export interface DayResult {
  /** Credit of the served requests divided by the credit of all requests, from 0 to 1, over the whole day. */
  readonly served: number
  /** The lowest such ratio of all windows of 2 s. */
  readonly worst: number
  /** The share of served requests of the model that was served worst. */
  readonly worstModel: number
  /** Loads that began after the first request. */
  readonly loads: number
  /** Orders that the planner sent, including those before the first request. */
  readonly orders: number
  /** Share of the live engines' time that they spent in a serving replica. */
  readonly used: number
  /** Number of rule violations by orders. */
  readonly broken: number
}

/** Time between two samples of what is served, in ms. */
const sampleInterval = 100

/** Length of the windows over which `worst` is computed, in ms. */
const windowLength = 2000

/**
 * Time for which a head's requests make no progress before gateways suspect it, in ms: the setting `maxSilence` plus a
 * heartbeat.
 */
const suspicionDelay = 500

/** Factor on load times before the first request. */
const leadLoadFactor = 0.1

/**
 * When a domain dies: the earliest moment and the span after it, as shares of the day. The domain returns within the
 * day.
 */
const minOutageAt = 0.2
const outageSpan = 0.3

/** When engines lose the store: the earliest moment and the span after it, as shares of the day. */
const minLapseAt = 0.3
const lapseSpan = 0.1

/** Time after which the entry of an engine that does not write to the store expires, in ms: three heartbeats. */
const entryTtl = 3600

/** Delay with which an unanswered order is carried out: the minimum and the span above it, in ms. */
const minLateDelay = 1000
const lateDelaySpan = 11_000

/** Time within which the dead engines of a domain return one after the other, in ms. */
const returnSpan = 300

/** Simulates a day. The same seed gives the same result. */
export async function simulateDay (day: Day, seed: number): Promise<DayResult> {
  const engines = new EmulatedEngines(new ManualClock(), requireEngine(day.service))
  const random = seeded(seed)
  for (let domain = 0; domain < day.domains; domain++) {
    for (let index = 0; index < day.nodes; index++) engines.add(`n${domain}-${index}`, `d${domain}`)
  }
  const suspects = new Set<string>()
  let hasTraffic = false
  const demand = (): Demand => hasTraffic ? demandShares(day) : new Map()
  const reconciler = createPlanner(engines, new MemoryPlacements(), { suspects, demand, beforeTraffic: () => !hasTraffic, keepUnlisted: day.keepUnlisted, warmSpares: day.warmSpares })
  engines.loadFactor = leadLoadFactor
  reconciler.start()
  await advance(engines, day.lead)
  hasTraffic = true
  engines.loadFactor = 1
  // Loads before the first request do not count towards the rate limit of the weight store.
  engines.loadTimes.length = 0
  const earlyLoadViolations = engines.violations.filter(each => each === 'loads').length
  const faults = new FaultInjector(day, engines, random)
  const recorder = new ServiceRecorder(day)
  for (let time = 0; time < day.length; time += sampleInterval) {
    faults.inject(time)
    updateSuspects(engines, suspects)
    await advance(engines, sampleInterval)
    recorder.sample(engines)
  }
  reconciler.stop()
  return { ...recorder.result, loads: engines.loadTimes.length, orders: engines.sentOrders.length, broken: engines.violations.length - earlyLoadViolations }
}

function requireEngine (service: Service): EngineService {
  if (service.engine === undefined) throw new Error('The service of the day has no engine. Give its engine as in the configuration.')
  return { ...service, engine: service.engine }
}

/** Each model's share of all requests. */
function demandShares ({ demand }: Day): Demand {
  const total = demand.reduce((sum, each) => sum + each.requests, 0)
  return new Map(demand.map(({ model, requests }) => [model, requests / total]))
}

/**
 * Adds a head to the suspects once it has been stalled for `suspicionDelay`, and removes it once it is no longer
 * stalled.
 */
function updateSuspects (engines: EmulatedEngines, suspects: Set<string>): void {
  const stalled = new Set(engines.stalledHeads)
  for (const id of suspects) if (!stalled.has(id)) suspects.delete(id)
  for (const id of stalled) engines.clock.after(suspicionDelay, () => { if (engines.stalledHeads.includes(id)) suspects.add(id) })
}

/**
 * Injects the faults of a day into the engines: deaths, domain outages, additions, lost store entries and late orders.
 */
class FaultInjector {
  readonly #day: Day
  readonly #engines: EmulatedEngines
  readonly #random: Random
  readonly #outageAt: number
  readonly #outageDomain: string
  readonly #lapseAt: number
  #hadOutage = false
  #hadLapse = false
  #nextDeath: number
  #nextAddition: number
  #addedCount = 0

  constructor (day: Day, engines: EmulatedEngines, random: Random) {
    this.#day = day
    this.#engines = engines
    this.#random = random
    this.#outageAt = day.length * (minOutageAt + outageSpan * random())
    this.#outageDomain = `d${Math.floor(random() * day.domains)}`
    this.#nextDeath = this.#exponential(day.deaths.every)
    this.#nextAddition = day.added === undefined ? Infinity : this.#exponential(day.added)
    this.#lapseAt = day.lapse === undefined ? Infinity : day.length * (minLapseAt + lapseSpan * random())
  }

  /** Injects all faults that are due. @param time since the first request, in ms */
  inject (time: number): void {
    const { deaths, dark, added, late, length } = this.#day
    const inMiddle = time > length / 3 && time < length * 2 / 3
    this.#engines.orderDelay = () => inMiddle && this.#random() < late ? minLateDelay + this.#random() * lateDelaySpan : undefined
    for (; this.#nextDeath <= time; this.#nextDeath += this.#exponential(deaths.every)) this.#killRandom(deaths.gone)
    for (; this.#nextAddition <= time; this.#nextAddition += this.#exponential(added ?? Infinity)) this.#engines.add(`new-${this.#addedCount++}`, `d${Math.floor(this.#random() * this.#day.domains)}`)
    if (dark !== undefined && !this.#hadOutage && time >= this.#outageAt) {
      this.#hadOutage = true
      for (const id of this.#engines.liveEngines) if (this.#engines.upstream(id).domain === this.#outageDomain) this.#kill(id, dark)
    }
    if (!this.#hadLapse && time >= this.#lapseAt) this.#lapse()
  }

  /** Some engines cannot write to the store for a while. They continue to serve. */
  #lapse (): void {
    const { lapse: { share, time } = { share: 0, time: 0 } } = this.#day
    this.#hadLapse = true
    for (const id of this.#engines.liveEngines.filter(() => this.#random() < share)) {
      this.#engines.clock.after(entryTtl, () => this.#engines.unlist(id, true))
      this.#engines.clock.after(Math.max(time, entryTtl), () => this.#engines.relist(id))
    }
  }

  #killRandom (gone: number): void {
    const { liveEngines } = this.#engines
    if (liveEngines.length > 0) this.#kill(liveEngines[Math.floor(this.#random() * liveEngines.length)], gone)
  }

  /** Kills an engine. It returns under a new id with the weights that its host holds. */
  #kill (id: string, gone: number): void {
    const { domain = '', staged } = this.#engines.upstream(id)
    this.#engines.kill(id)
    this.#engines.clock.after(gone + this.#random() * returnSpan, () => this.#engines.add(`again-${this.#addedCount++}`, domain, staged))
  }

  /** A random time with an exponential distribution. */
  #exponential (mean: number): number {
    return -Math.log(1 - this.#random()) * mean
  }
}

/** Samples what is served, and computes the shares of the result. */
class ServiceRecorder {
  readonly #day: Day
  readonly #windows: number[] = []
  readonly #servedByModel = new Map<string, number>()
  #samples = 0
  #engineTime = 0
  #usedTime = 0

  constructor (day: Day) {
    this.#day = day
  }

  sample (engines: EmulatedEngines): void {
    const { demand, service: { engine } } = this.#day
    const { serving } = engines
    const slots = engine?.slots ?? 1
    let credit = 0
    for (const { model, requests, credit: each } of demand) {
      const share = requests === 0 ? 1 : Math.min(1, (serving[model] ?? 0) * slots / requests)
      this.#servedByModel.set(model, (this.#servedByModel.get(model) ?? 0) + share)
      credit += share * requests * each
    }
    this.#windows.push(credit / demand.reduce((sum, { requests, credit }) => sum + requests * credit, 0))
    this.#samples++
    this.#engineTime += engines.liveEngines.length
    this.#usedTime += (engine?.models ?? []).reduce((sum, { name, size }) => sum + size * (serving[name] ?? 0), 0)
  }

  get result (): Pick<DayResult, 'served' | 'worst' | 'worstModel' | 'used'> {
    const width = windowLength / sampleInterval
    const windows = Array.from({ length: Math.max(1, Math.floor(this.#windows.length / width)) }, (_each, index) => mean(this.#windows.slice(index * width, (index + 1) * width)))
    return {
      served: mean(this.#windows),
      worst: Math.min(...windows),
      worstModel: Math.min(...[...this.#servedByModel.values()].map(each => each / this.#samples)),
      used: this.#usedTime / this.#engineTime
    }
  }
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, each) => sum + each, 0) / Math.max(1, values.length)
}
