/**
 * The choice of a replica against its baselines: the real policies, affinity, retry budget and admission queues, with
 * fake replicas on a clock of events. Entries know of replicas by reports that lag, as in service.
 */
import { createHistogram } from 'node:perf_hooks'
import { seeded, type Random } from '@eiderwind/clock'
import { Fault } from '@eiderwind/fault'
import { ranked } from '@eiderwind/hash'
import { Balanced, Budget, LeastOpen, RoundRobin, TwoChoices, Uniform, type Candidate, type Policy } from '@eiderwind/route'
import { EventClock } from './eventclock.js'
import { FakeReplica, type Prompt, type Service } from './fakereplica.js'
import { ofRuns, type Figures } from './figures.js'

const seeds = [1, 2, 3]

/** Time that is measured, in ms, after the time in which the scene's fleet fills. */
const measuredTime = 30_000

/** Time between two reports of a replica, and their least and most age when an entry goes by them, in ms. */
const reportInterval = 1000
const leastLag = 100
const mostLag = 1500

/** A part of one data centre at the size of letter 1: replicas before entries, with sizes and rates scaled to 64 at once. */
interface Scene {
  readonly name: string
  readonly note: string
  /** Requests a second in all. */
  readonly rate: number
  /** Share of the requests with a prompt of `long` tokens; the others have `short`. */
  readonly longShare: number
  readonly short: number
  readonly long: number
  /** Sessions among which requests are spread; each turn's prompt is longer by what went before. 0: each its own. */
  readonly sessions: number
  /** Time in which the fleet fills, in ms. */
  readonly warm: number
  /** How many times slower the first replica is. */
  readonly slow: number
}

const replicaCount = 18
const entryCount = 22
const concurrency = 64
const output = 60
const tokenTime = 20
const reading = 20
const cacheTokens = 400_000

/** Replicas that entries prefer for a session, as in the entry. */
const sessionHomes = 3

const even: Scene = { name: 'even', note: 'prompts alike', rate: 400, longShare: 0, short: 600, long: 0, sessions: 0, warm: 10_000, slow: 1 }
const scenes: readonly Scene[] = [
  even,
  { ...even, name: 'mixed', note: 'a tenth of the prompts 13 times longer', longShare: 0.1, short: 300, long: 4000 },
  { ...even, name: 'slow', note: 'one replica 4 times slower', slow: 4 },
  { ...even, name: 'sessions', note: '3000 sessions of up to 12 turns, each 150 tokens longer', sessions: 3000, short: 150, rate: 300 },
  { ...even, name: 'overload', note: 'a third more than the fleet can take, three teams with priorities 10, 5 and 1 that ask for the same', rate: 640, warm: 60_000 }
]

/** The teams, which all ask for the same, and their priorities. */
const teams: ReadonlyMap<string, number> = new Map([['large', 10], ['middle', 5], ['small', 1]])

type Make = (random: Random) => Policy

const policies: readonly [string, Make][] = [
  ['round_robin', () => new RoundRobin()],
  ['random', random => new Uniform(random)],
  ['least_open', () => new LeastOpen()],
  ['two_choices', random => new TwoChoices(random)],
  ['balanced', random => new Balanced({ random })]
]

export async function measureRouting (figures: Figures): Promise<void> {
  for (const scene of scenes) {
    for (const [name, make] of policies) await measureOne(figures, scene, name, make)
  }
}

async function measureOne (figures: Figures, scene: Scene, name: string, make: Make): Promise<void> {
  const outcomes: Outcome[] = []
  for (const seed of seeds) outcomes.push(await new Trial(scene, make, seeded(seed)).run())
  const note = `${scene.note}; ${scene.rate} requests/s, ${replicaCount} replicas, ${entryCount} entries, reports ${leastLag} to ${mostLag} ms old, seeds ${seeds.join(' ')}`
  const add = (what: string, unit: string, value: (outcome: Outcome) => number): void => {
    figures.add(ofRuns(`router.${scene.name}.${name}.${what}`, unit, outcomes.map(value), note))
  }
  add('first_p50', 'ms', each => each.percentile(50))
  add('first_p95', 'ms', each => each.percentile(95))
  add('first_p99', 'ms', each => each.percentile(99))
  if (scene.sessions > 0) add('reuse', '% of prompt tokens', each => each.reuse)
  if (scene.name !== 'overload') return
  add('unfairness', '% of its share that the worst team lacks', each => each.unfairness)
  add('refused_p95', 'ms until a refusal', each => each.refusedAfter)
  add('wasted', 'refused attempts per answered request', each => each.wasted)
}

/** What one run came to. */
class Outcome {
  readonly #first = createHistogram()
  readonly #refusals = createHistogram()
  readonly #served = new Map<string, number>()
  #tokens = 0
  #reused = 0
  #answered = 0
  #refused = 0

  answered ({ team, prompt }: Prompt, { reused }: Service, span: number): void {
    this.#first.record(Math.max(1, Math.round(span * 1000)))
    this.#served.set(team, (this.#served.get(team) ?? 0) + 1)
    this.#tokens += prompt
    this.#reused += reused
    this.#answered++
  }

  /** @param span how long it took, in ms */
  refused (span: number): void {
    this.#refused++
    this.#refusals.record(Math.max(1, Math.round(span * 1000)))
  }

  /** Time within which 95 of 100 refusals came, in ms. */
  get refusedAfter (): number {
    return this.#refusals.percentile(95) / 1000
  }

  /** Time to the first token, in ms. */
  percentile (share: number): number {
    return this.#first.percentile(share) / 1000
  }

  get reuse (): number {
    return this.#reused / this.#tokens * 100
  }

  /** By how much the team that is furthest below its share of what was served falls short of it, in percent. */
  get unfairness (): number {
    const priorities = [...teams.values()].reduce((sum, each) => sum + each, 0)
    let worst = 0
    for (const [team, priority] of teams) {
      const due = Math.min(this.#asked, this.#answered * priority / priorities)
      worst = Math.max(worst, 1 - (this.#served.get(team) ?? 0) / due)
    }
    return worst * 100
  }

  /** What each team asked for. */
  get #asked (): number {
    return (this.#answered + this.#refused) / teams.size
  }

  get wasted (): number {
    return this.#refused / this.#answered
  }
}

/** What one entry knows of one replica. */
interface Known {
  reported: number
  madeAt: number
  open: number
  sent: number[]
}

/** One entry: the parts of the real one that choose. */
class Chooser {
  readonly known: readonly Known[]
  readonly #policy: Policy
  readonly budget: Budget

  constructor (clock: EventClock, policy: Policy) {
    this.#policy = policy
    this.budget = new Budget(clock)
    this.known = Array.from({ length: replicaCount }, () => ({ reported: 0, madeAt: 0, open: 0, sent: [] }))
  }

  /** The index of the replica to try, of those not tried yet. A session is one that the caller named. */
  pick (session: string | undefined, tried: ReadonlySet<number>): number | undefined {
    const candidates = this.known.map((each, index) => this.#candidate(each, index)).filter(({ id }) => !tried.has(Number(id)))
    if (candidates.length === 0) return undefined
    const homes = session === undefined ? [] : ranked(session, candidates.map(each => each.id)).slice(0, sessionHomes)
    return Number(this.#policy.pick(candidates, { session: homes, prefix: [] }).id)
  }

  #candidate ({ reported, madeAt, open, sent }: Known, index: number): Candidate {
    while (sent.length > 0 && sent[0] < madeAt) sent.shift()
    return { id: String(index), reported, concurrency, open, unseen: sent.length }
  }
}

/** One run of one scene with one policy. */
class Trial {
  readonly #scene: Scene
  readonly #random: Random
  readonly #clock = new EventClock()
  readonly #replicas: readonly FakeReplica[]
  readonly #entries: readonly Chooser[]
  readonly #turns = new Map<string, number>()
  readonly #outcome = new Outcome()
  #fresh = 0

  constructor (scene: Scene, make: Make, random: Random) {
    this.#scene = scene
    this.#random = random
    this.#replicas = Array.from({ length: replicaCount }, (_each, index) => {
      const factor = index === 0 ? scene.slow : 1
      return new FakeReplica({ clock: this.#clock, id: String(index), concurrency, queue: 4 * concurrency, reading: reading / factor, tokenTime: tokenTime * factor, cache: cacheTokens, priorities: teams })
    })
    this.#entries = Array.from({ length: entryCount }, () => new Chooser(this.#clock, make(random)))
  }

  async run (): Promise<Outcome> {
    for (const [index, replica] of this.#replicas.entries()) this.#report(index, replica)
    this.#arrive()
    await this.#clock.run(this.#scene.warm + measuredTime)
    return this.#outcome
  }

  /** Has a replica report again and again; each entry hears of it with a lag of its own. */
  #report (index: number, replica: FakeReplica): void {
    const madeAt = this.#clock.now()
    const reported = replica.running + replica.waiting
    for (const entry of this.#entries) {
      this.#clock.after(leastLag + this.#random() * (mostLag - leastLag), () => {
        if (madeAt < entry.known[index].madeAt) return
        entry.known[index].madeAt = madeAt
        entry.known[index].reported = reported
      })
    }
    this.#clock.after(reportInterval * (0.9 + 0.2 * this.#random()), () => this.#report(index, replica))
  }

  /** Requests come one by one, at random times (a Poisson process). */
  #arrive (): void {
    const gap = -Math.log(1 - this.#random()) * 1000 / this.#scene.rate
    this.#clock.after(gap, () => {
      this.#arrive()
      this.#send(this.#entries[Math.floor(this.#random() * entryCount)], this.#request())
    })
  }

  #request (): Prompt {
    const { sessions, short, long, longShare } = this.#scene
    const team = [...teams.keys()][Math.floor(this.#random() * teams.size)]
    if (sessions === 0) return { team, session: String(++this.#fresh), prompt: this.#random() < longShare ? long : short, output }
    const session = `s${Math.floor(this.#random() * sessions)}`
    const turn = (this.#turns.get(session) ?? 0) % 12
    this.#turns.set(session, turn + 1)
    return { team, session, prompt: short * (turn + 1), output }
  }

  /** Whether what happens now is measured. */
  get #counts (): boolean {
    return this.#clock.now() > this.#scene.warm
  }

  /** Tries a request as an entry does: other replicas after a refusal, within the budget. */
  async #send (entry: Chooser, request: Prompt): Promise<void> {
    const startedAt = this.#clock.now()
    const tried = new Set<number>()
    entry.budget.deposit()
    while (tried.size === 0 || entry.budget.withdraw()) {
      const index = entry.pick(this.#scene.sessions > 0 ? request.session : undefined, tried)
      if (index === undefined) return
      tried.add(index)
      const known = entry.known[index]
      known.open++
      const sentAt = this.#clock.now()
      known.sent.push(sentAt)
      const service = await this.#replicas[index].serve(request, () => { known.open-- })
      if (!(service instanceof Fault)) {
        if (this.#counts) this.#outcome.answered(request, service, service.firstAt - startedAt)
        return
      }
      known.open--
      if (this.#counts) this.#outcome.refused(this.#clock.now() - sentAt)
    }
  }
}
