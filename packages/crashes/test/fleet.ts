/**
 * A model of gateways that share heads, and of harmful requests that crash each head that begins to run them. `Crashes`
 * makes the decisions. Heads, callers and the network are simulated on a manual clock. A caller sends a request at most
 * twice, and each try goes to at most two heads.
 */
import { ManualClock, seeded, type Random } from '@eiderwind/clock'
import { Crashes, type BrokenAttempt, type RequestIdentity, type Standing, type Trial, type UpstreamAddress } from '@eiderwind/crashes'

/** The part of `Crashes` that a gateway uses while it forwards. */
export interface CrashPolicy {
  standing (request: RequestIdentity): Standing
  mayTry (request: RequestIdentity): boolean
  readonly underTrial: ReadonlySet<string>
  beginTrial (request: RequestIdentity, upstream: string): Trial | undefined
  recordBroken (request: RequestIdentity, upstream: UpstreamAddress, attempt: BrokenAttempt): void
  recordSurvived (request: RequestIdentity): void
  recordCompleted (request: RequestIdentity): void
}

/**
 * The rule without trials: three crashes block a request, and every request with one of its parts, regardless of the
 * other requests in flight. All gateways share one count without delay.
 */
export class CountingPolicy implements CrashPolicy {
  readonly #crashes = new Map<string, Set<string>>()
  readonly underTrial = new Set<string>()

  standing ({ fingerprint, parts }: RequestIdentity): Standing {
    return [fingerprint, ...parts].some(each => (this.#crashes.get(each)?.size ?? 0) >= 3) ? 'blocked' : 'trusted'
  }

  mayTry (): boolean {
    return true
  }

  beginTrial (): undefined {}

  recordBroken ({ fingerprint, parts }: RequestIdentity, { id }: UpstreamAddress): void {
    for (const each of [fingerprint, ...parts]) this.#crashes.set(each, (this.#crashes.get(each) ?? new Set()).add(id))
  }

  recordSurvived (): void {}

  recordCompleted ({ fingerprint, parts }: RequestIdentity): void {
    for (const each of [fingerprint, ...parts]) this.#crashes.delete(each)
  }
}

/** Options of a fleet. Times are in ms. */
export interface FleetOptions {
  readonly seed: number
  readonly gateways: number
  readonly heads: number
  /** Number of harmful requests. Each is sent again every `interval` at a random gateway. */
  readonly harmful: number
  readonly interval: number
  /** Number of other requests that begin in each ms. */
  readonly rate: number
  readonly duration: number
  /** The prompts of the requests. By default they have no parts, and each harmful request returns as it is. */
  readonly prompts?: Prompts
  /** By default `Crashes`, with reports between gateways. */
  readonly policy?: CrashPolicy
}

/** The prompts of a fleet's requests. Each harmful request is then new, and crashes its head by a part of its own kind. */
export interface Prompts {
  /** Number of parts that all requests share. In a harmful request they come before the harmful part. */
  readonly shared: number
  /** Whether each request also has a part between these and its last one that no other request has. */
  readonly session: boolean
  /** Number of teams that the requests belong to in turn. */
  readonly teams: number
  /** Time before the first harmful request, in ms. */
  readonly quiet: number
  /** Whether the gateways recognize the parts. By default they do. */
  readonly isRecognized?: boolean
}

/** The result of a simulation. */
export interface FleetResult {
  /** Number of crashed engines. */
  readonly crashed: number
  /** Number of other requests, and how many of them were refused as blocked. */
  readonly others: number
  readonly refused: number
  /** Number of other requests that completed. */
  readonly served: number
  /**
   * Maximum time between the first and the last gateway's block of one request, in ms. Undefined if a gateway never
   * blocked one of them.
   */
  readonly spread: number | undefined
  /** Number of engines that crashed more than `lateMs` after the fifth crash by the same harmful part, of all parts. */
  readonly late: number
}

interface RunningRequest {
  readonly request: ModelRequest
  readonly gateway: CrashPolicy
  readonly head: string
  readonly sentAt: number
  readonly endsAt: number
  readonly crashesAt: number | undefined
  readonly trial: Trial | undefined
  begun: boolean
}

interface ModelRequest extends RequestIdentity {
  /** The number of the harmful request or part; undefined if it is not harmful. */
  readonly harmful: number | undefined
  attempts: number
  tries: number
  waitsUntil: number
  gateway: CrashPolicy
}

/** Mean time that an ordinary request runs, in ms. */
const runTimeMs = 700
/** Time that a harmful request runs until its head crashes, in ms. */
const crashTimeMs = 70
/** Time until a crashed head is replaced, in ms. */
const replaceTimeMs = 2000
/** Maximum time that a request waits for a head, in ms. */
const maxWaitMs = 1500
/** Network delay between two gateways, in ms, and the ratio of datagrams that are lost. */
const networkDelayMs = 3
const lossRatio = 0.02
/** Time between two regular heartbeats, in ms. */
const heartbeatIntervalMs = 250
/** Time until the first part of an answer, and between two parts, in ms. */
const firstAnswerMs = 60
const answerPartMs = 40
/** Time after the first part of an answer from which it counts as past its beginning, in ms. */
const beginningMs = 320
/** The crash by one harmful part from which on it should crash no more engines, and how soon, in ms. */
const decidingCrash = 5
const lateMs = 4000

/** Simulates a fleet. */
export async function simulate (options: FleetOptions): Promise<FleetResult> {
  const fleet = new Fleet(options)
  await fleet.run()
  return fleet.result
}

class Fleet {
  readonly #options: FleetOptions
  readonly #clock = new ManualClock()
  readonly #random: Random
  readonly #policies: CrashPolicy[]
  readonly #crashes: Crashes[] = []
  readonly #blockedAt = new Map<string, number[]>()
  #heads: string[]
  #startedHeads = 0
  readonly #down = new Set<string>()
  #running: RunningRequest[] = []
  #waiting: ModelRequest[] = []
  #crashed = 0
  #others = 0
  #refused = 0
  #served = 0
  #harmfulSent = 0
  /** When each harmful request or part crashed an engine. */
  readonly #crashTimes = new Map<number, number[]>()

  constructor (options: FleetOptions) {
    this.#options = options
    this.#random = seeded(options.seed)
    this.#heads = Array.from({ length: options.heads }, () => this.#nextHead())
    const { policy } = options
    this.#policies = Array.from({ length: options.gateways }, (_each, index) => policy ?? this.#createGateway(index))
    if (policy === undefined) this.#clock.every(heartbeatIntervalMs, () => { for (const index of this.#crashes.keys()) this.#sendReports(index) })
  }

  get result (): FleetResult {
    const spreads = [...this.#blockedAt.values()].map(times => times.length < this.#options.gateways ? undefined : Math.max(...times) - Math.min(...times))
    const known = spreads.length === this.#options.harmful && !spreads.includes(undefined)
    return { late: this.#late, crashed: this.#crashed, others: this.#others, refused: this.#refused, served: this.#served, spread: known ? Math.max(...spreads as number[]) : undefined }
  }

  get #late (): number {
    return [...this.#crashTimes.values()].reduce((sum, times) => {
      const until = (times[decidingCrash - 1] ?? Infinity) + lateMs
      return sum + times.filter(each => each > until).length
    }, 0)
  }

  async run (): Promise<void> {
    const { duration } = this.#options
    for (let time = 0; time < duration; time++) {
      this.#arrivals(time)
      this.#clock.advance(1)
      // The checks of addresses resolve as promises.
      await Promise.resolve()
      this.#endRuns()
      this.#sendWaiting()
    }
  }

  #nextHead (): string {
    return `head-${++this.#startedHeads}`
  }

  #createGateway (index: number): Crashes {
    const crashes = new Crashes({
      clock: this.#clock,
      hasEnded: () => false,
      probe: async address => this.#down.has(address) ? 'refused' : 'listening',
      otherTrials: () => this.#crashes.filter((_each, other) => other !== index).map(each => each.trialNames),
      announce: () => this.#sendReports(index),
      changed: () => {},
      crashed: () => {},
      blockChanged: ({ names: [name] }) => { if (name !== undefined) this.#blockedAt.set(name, [...this.#blockedAt.get(name) ?? [], this.#clock.now()]) }
    })
    this.#crashes.push(crashes)
    return crashes
  }

  #sendReports (from: number): void {
    const { heartbeatFields } = this.#crashes[from]
    if (heartbeatFields.crashes.length === 0 && heartbeatFields.cleared.length === 0) return
    for (const [to, crashes] of this.#crashes.entries()) {
      if (to !== from && this.#random() >= lossRatio) this.#clock.after(networkDelayMs, () => crashes.receive(heartbeatFields))
    }
  }

  #arrivals (time: number): void {
    const { harmful, interval, rate, prompts } = this.#options
    for (let index = 0; index < harmful && time >= (prompts?.quiet ?? 0); index++) {
      if ((time + index * 7) % interval === 0) this.#begin(`harmful-${index}`, index)
    }
    for (let left = rate; left > 0; left--) {
      if (left < 1 && this.#random() >= left) break
      this.#begin(`other-${++this.#others}`, undefined)
    }
  }

  #begin (name: string, harmful: number | undefined): void {
    const { prompts } = this.#options
    const fingerprint = prompts === undefined || harmful === undefined ? name : `${name}-${++this.#harmfulSent}`
    const team = `@team-${Math.floor(this.#random() * (prompts?.teams ?? 1))}`
    const parts = prompts === undefined || prompts.isRecognized === false ? [] : partsOf(prompts, fingerprint, harmful)
    this.#waiting.push({ fingerprint, parts, team, harmful, attempts: 0, tries: 1, waitsUntil: this.#clock.now() + maxWaitMs, gateway: this.#randomGateway() })
  }

  #randomGateway (): CrashPolicy {
    return this.#policies[Math.floor(this.#random() * this.#policies.length)]
  }

  /** Sends waiting requests, as `Path` does. */
  #sendWaiting (): void {
    const waiting = this.#waiting
    this.#waiting = []
    for (const request of waiting) {
      const standing = request.gateway.standing(request)
      if (standing === 'blocked') this.#refuse(request)
      else if (!this.#send(request, standing) && this.#clock.now() < request.waitsUntil) this.#waiting.push(request)
    }
  }

  #refuse ({ harmful }: ModelRequest): void {
    if (harmful === undefined) this.#refused++
  }

  #send (request: ModelRequest, standing: Standing): boolean {
    const { gateway } = request
    if (standing === 'suspected' && !gateway.mayTry(request)) return false
    const { underTrial } = gateway
    const apart = this.#heads.filter(each => !underTrial.has(each))
    const among = apart.length > 0 || standing === 'suspected' ? apart : this.#heads
    if (among.length === 0) return false
    const head = among[Math.floor(this.#random() * among.length)]
    const now = this.#clock.now()
    const trial = standing === 'suspected' ? gateway.beginTrial(request, head) : undefined
    request.attempts++
    this.#running.push({ request, gateway, head, trial, sentAt: now, endsAt: now + runTimeMs * (0.5 + this.#random()), crashesAt: request.harmful === undefined ? undefined : now + crashTimeMs, begun: false })
    return true
  }

  #endRuns (): void {
    const now = this.#clock.now()
    for (const each of this.#running) {
      if (!each.begun && now >= each.sentAt + firstAnswerMs) {
        each.begun = true
        each.trial?.received()
      }
      if (survived(each, now) && (now - each.sentAt) % answerPartMs === 0) each.gateway.recordSurvived(each.request)
    }
    for (const { head, crashesAt, request: { harmful } } of [...this.#running]) if (crashesAt !== undefined && now >= crashesAt) this.#crash(head, harmful)
    const ended = this.#running.filter(each => now >= each.endsAt)
    this.#running = this.#running.filter(each => now < each.endsAt)
    for (const { request, gateway, trial } of ended) {
      trial?.end()
      gateway.recordCompleted(request)
      this.#served++
    }
  }

  #crash (head: string, harmful = 0): void {
    if (this.#down.has(head)) return
    this.#crashed++
    this.#crashTimes.set(harmful, [...this.#crashTimes.get(harmful) ?? [], this.#clock.now()])
    this.#down.add(head)
    this.#heads = this.#heads.filter(each => each !== head)
    this.#clock.after(replaceTimeMs, () => this.#heads.push(this.#nextHead()))
    const lost = this.#running.filter(each => each.head === head)
    this.#running = this.#running.filter(each => each.head !== head)
    for (const each of lost) {
      const { request, gateway, trial } = each
      trial?.end()
      gateway.recordBroken(request, { id: head, address: head }, { survived: survived(each, this.#clock.now()), trial: trial !== undefined })
      this.#retry(request)
    }
  }

  /**
   * Retries a request that was interrupted by a crash. A try goes to two heads; then the caller tries once more, at a
   * random gateway.
   */
  #retry (request: ModelRequest): void {
    if (request.attempts >= 2) {
      if (request.tries >= 2) return
      request.tries++
      request.attempts = 0
      request.gateway = this.#randomGateway()
    }
    request.waitsUntil = this.#clock.now() + maxWaitMs
    this.#waiting.push(request)
  }
}

/** Whether an answer is past its beginning. */
function survived ({ begun, sentAt }: RunningRequest, now: number): boolean {
  return begun && now >= sentAt + firstAnswerMs + beginningMs
}

/** The parts of a request's prompt except the last. */
function partsOf ({ shared, session }: Prompts, request: string, harmful: number | undefined): string[] {
  const common = Array.from({ length: shared }, (_each, index) => `model/shared-${index}`)
  return [...common, ...harmful === undefined ? [] : [`model/harmful-${harmful}`], ...session ? [`model/session-of-${request}`] : []]
}
