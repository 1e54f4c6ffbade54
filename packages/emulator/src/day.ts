/**
 * A day of a deployment's engines, emulated: engines die one by one and as whole domains, come back or are added, and leave orders unanswered,
 * while callers ask for models. Owns the shape of a day, which an operator could write from a deployment's sheet, and the account of
 * what the callers lost for want of replicas. Network, requests and gateways are not emulated: a replica serves as many requests at
 * once as it has slots, and a model's callers are served as far as its replicas have slots for them.
 */
import { ManualClock, seeded, type Random } from '@eiderwind/clock'
import { MemoryPlacements, type Demand } from '@eiderwind/forming'
import { Service } from '@eiderwind/traffic'
import { z } from 'zod'
import { EmulatedEngines, type EngineService } from './engines.js'
import { pass, planner } from './planner.js'

/** A time, in ms. */
const Span = z.number().min(0)

/** What happens to the engines of a deployment, and what is asked of them. Times count from the first request. */
export const Day = z.object({
  /** The service as operators configure it. */
  service: Service,
  domains: z.int().min(1),
  /** Engines in each domain at the start. */
  nodes: z.int().min(1),
  /** How long the engines have before the first request, and for how long requests come. */
  lead: Span,
  length: Span,
  /** What callers ask for. */
  demand: z.array(z.object({
    model: z.string(),
    /** Requests at once. */
    requests: z.number().min(0),
    /** What one served request is worth. */
    credit: z.number().min(0)
  })),
  /** Mean time between two deaths of single engines, and how long a dead one is gone. */
  deaths: z.object({ every: Span, gone: Span }),
  /** How long a whole domain is gone; it dies at a random moment. Absent: none does. */
  dark: Span.optional(),
  /** Mean time between two empty engines that are added. Absent: none is. */
  added: Span.optional(),
  /** Share of the living engines that can't reach the store at a random moment, and for how long. Absent: all do all the time. */
  lapse: z.object({ share: z.number().min(0).max(1), time: Span }).optional(),
  /** The setting `keep_unlisted` of the planner. */
  keepUnlisted: Span.default(0),
  /** The setting `warm_spares` of the planner. */
  warmSpares: z.boolean().default(false),
  /** Share of the orders that are left unanswered and carried out within 12 s, in the middle third of the day. */
  late: z.number().min(0).max(1).default(0)
})
export type Day = z.infer<typeof Day>

/** What a day gave. */
export interface DayResult {
  /** Credit served over credit asked for, from 0 to 1: the whole day, the worst 2 s, and the model that was served worst. */
  readonly served: number
  readonly worst: number
  readonly worstModel: number
  /** Loads that began after the first request, and orders over the whole day. */
  readonly loads: number
  readonly orders: number
  /** Share of the living engines' time in which they were in a serving replica. */
  readonly used: number
  /** Rules that orders broke. */
  readonly broken: number
}

/** Time between two looks at what is served, in ms. */
const step = 100

/** Length of the windows of which the worst is told, in ms. */
const windowLength = 2000

/** How long a head's requests stand still before gateways suspect it, in ms: the setting `silence` and a heartbeat. */
const suspicionTime = 500

/** How much shorter loads are before the first request. */
const leadLoadFactor = 0.1

/** When a domain goes dark: the earliest moment and the span of moments, as shares of the day. It comes back while the day lasts. */
const darkFrom = 0.2
const darkSpan = 0.3

/** When engines lose the store: the earliest moment and the span of moments, as shares of the day. */
const lapseFrom = 0.3
const lapseSpan = 0.1

/** Time after which an engine that does not write to the store has no entry there, in ms: three heartbeats. */
const entryTime = 3600

/** How late an unanswered order is carried out: the shortest time and the span, in ms. */
const lateFrom = 1000
const lateSpan = 11_000

/** Within how long the engines of a domain come back after each other, in ms. */
const returnSpan = 300

/** Plays a day. */
export async function playDay (day: Day, seed: number): Promise<DayResult> {
  const engines = new EmulatedEngines(new ManualClock(), withEngine(day.service))
  const random = seeded(seed)
  for (let domain = 0; domain < day.domains; domain++) {
    for (let index = 0; index < day.nodes; index++) engines.add(`n${domain}-${index}`, `d${domain}`)
  }
  const suspects = new Set<string>()
  let served = false
  const demand = (): Demand => served ? shares(day) : new Map()
  const planning = planner(engines, new MemoryPlacements(), { suspects, demand, unserved: () => !served, keepUnlisted: day.keepUnlisted, warmSpares: day.warmSpares })
  engines.loadFactor = leadLoadFactor
  planning.start()
  await pass(engines, day.lead)
  served = true
  engines.loadFactor = 1
  // The weight store's rate does not count loads before the first request.
  engines.loadsAt.length = 0
  const brokenBefore = engines.broken.filter(each => each === 'loads').length
  const troubles = new Troubles(day, engines, random)
  const account = new Account(day)
  for (let time = 0; time < day.length; time += step) {
    troubles.strike(time)
    suspectStalled(engines, suspects)
    await pass(engines, step)
    account.look(engines)
  }
  planning.stop()
  return { ...account.result, loads: engines.loadsAt.length, orders: engines.given.length, broken: engines.broken.length - brokenBefore }
}

function withEngine (service: Service): EngineService {
  if (service.engine === undefined) throw new Error('The day has a service without engines. Give its engine as in the configuration.')
  return { ...service, engine: service.engine }
}

/** Each model's share of the requests. */
function shares ({ demand }: Day): Demand {
  const total = demand.reduce((sum, each) => sum + each.requests, 0)
  return new Map(demand.map(({ model, requests }) => [model, requests / total]))
}

/** Gateways suspect a head once its requests have stood still for a while, and trust it again once it forms another replica. */
function suspectStalled (engines: EmulatedEngines, suspects: Set<string>): void {
  const stalled = new Set(engines.stalled)
  for (const id of suspects) if (!stalled.has(id)) suspects.delete(id)
  for (const id of stalled) engines.clock.after(suspicionTime, () => { if (engines.stalled.includes(id)) suspects.add(id) })
}

/** What happens to the engines. */
class Troubles {
  readonly #day: Day
  readonly #engines: EmulatedEngines
  readonly #random: Random
  readonly #darkAt: number
  readonly #darkDomain: string
  readonly #lapseAt: number
  #isDark = false
  #hasLapsed = false
  #nextDeath: number
  #nextAddition: number
  #count = 0

  constructor (day: Day, engines: EmulatedEngines, random: Random) {
    this.#day = day
    this.#engines = engines
    this.#random = random
    this.#darkAt = day.length * (darkFrom + darkSpan * random())
    this.#darkDomain = `d${Math.floor(random() * day.domains)}`
    this.#nextDeath = this.#wait(day.deaths.every)
    this.#nextAddition = day.added === undefined ? Infinity : this.#wait(day.added)
    this.#lapseAt = day.lapse === undefined ? Infinity : day.length * (lapseFrom + lapseSpan * random())
  }

  /** Strikes what is due. @param time since the first request, in ms */
  strike (time: number): void {
    const { deaths, dark, added, late, length } = this.#day
    const inMiddle = time > length / 3 && time < length * 2 / 3
    this.#engines.late = () => inMiddle && this.#random() < late ? lateFrom + this.#random() * lateSpan : undefined
    for (; this.#nextDeath <= time; this.#nextDeath += this.#wait(deaths.every)) this.#killOne(deaths.gone)
    for (; this.#nextAddition <= time; this.#nextAddition += this.#wait(added ?? Infinity)) this.#engines.add(`new-${this.#count++}`, `d${Math.floor(this.#random() * this.#day.domains)}`)
    if (dark !== undefined && !this.#isDark && time >= this.#darkAt) {
      this.#isDark = true
      for (const id of this.#engines.living) if (this.#engines.upstream(id).domain === this.#darkDomain) this.#kill(id, dark)
    }
    if (!this.#hasLapsed && time >= this.#lapseAt) this.#lapse()
  }

  /** Some engines can't write to the store for a while, and serve on. */
  #lapse (): void {
    const { lapse: { share, time } = { share: 0, time: 0 } } = this.#day
    this.#hasLapsed = true
    for (const id of this.#engines.living.filter(() => this.#random() < share)) {
      this.#engines.clock.after(entryTime, () => this.#engines.unlist(id, true))
      this.#engines.clock.after(Math.max(time, entryTime), () => this.#engines.relist(id))
    }
  }

  #killOne (gone: number): void {
    const { living } = this.#engines
    if (living.length > 0) this.#kill(living[Math.floor(this.#random() * living.length)], gone)
  }

  /** The engine comes back as another one, with what its host holds. */
  #kill (id: string, gone: number): void {
    const { domain = '', staged } = this.#engines.upstream(id)
    this.#engines.kill(id)
    this.#engines.clock.after(gone + this.#random() * returnSpan, () => this.#engines.add(`again-${this.#count++}`, domain, staged))
  }

  #wait (mean: number): number {
    return -Math.log(1 - this.#random()) * mean
  }
}

/** What was served. */
class Account {
  readonly #day: Day
  readonly #windows: number[] = []
  readonly #servedByModel = new Map<string, number>()
  #looks = 0
  #engineTime = 0
  #usedTime = 0

  constructor (day: Day) {
    this.#day = day
  }

  look (engines: EmulatedEngines): void {
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
    this.#looks++
    this.#engineTime += engines.living.length
    this.#usedTime += (engine?.models ?? []).reduce((sum, { name, size }) => sum + size * (serving[name] ?? 0), 0)
  }

  get result (): Pick<DayResult, 'served' | 'worst' | 'worstModel' | 'used'> {
    const width = windowLength / step
    const windows = Array.from({ length: Math.max(1, Math.floor(this.#windows.length / width)) }, (_each, index) => mean(this.#windows.slice(index * width, (index + 1) * width)))
    return {
      served: mean(this.#windows),
      worst: Math.min(...windows),
      worstModel: Math.min(...[...this.#servedByModel.values()].map(each => each / this.#looks)),
      used: this.#usedTime / this.#engineTime
    }
  }
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, each) => sum + each, 0) / Math.max(1, values.length)
}
