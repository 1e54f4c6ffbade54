/**
 * Simulates many gateways with cold upstreams, with the real code that enforces limits. Upstreams become cold at random
 * times. Gateways are killed, restarted, and cut off from each other or from the store, and each receives a change of
 * the store after a delay of its own. Requests are counted when they arrive at an upstream.
 */
import { ManualClock, seeded, type Random } from '@eiderwind/clock'
import { Member, addressOf, addressesOf, upstreamRecord, maxInWindow } from './limitmember.js'
import { Network } from './network.js'

/** The parameters of a run. */
export interface ColdScenario {
  readonly seed: number
  readonly gateways: number
  readonly upstreams: number
  /** Requests a second that a cold upstream can take. */
  readonly rate: number
  /** The bound for requests in a second is `rate * overshoot + slack`. */
  readonly overshoot: number
  readonly slack: number
  /** Faults that are injected at gateways. */
  readonly faults: ReadonlyArray<'kill' | 'store-cut' | 'partition'>
}

/** The figures of a run. */
export interface ColdResult {
  /** Maximum number of requests in any second at an upstream that has been cold for at least `propagationTime`. */
  readonly maxPerSecond: number
  /** Requests at cold upstreams, as a fraction of the number that their rates allow. */
  readonly usedShare: number
  /** Number of times that an upstream became cold. */
  readonly coldSpans: number
}

/** Maximum time from a change in the store until a gateway that can reach the store receives it, in ms. */
const maxLag = 300
/**
 * Time within which all gateways have learned of a change, in ms. It allows for a gateway that learns of it by
 * heartbeats only and loses one of them.
 */
const propagationTime = 2 * 250 + maxLag
/** Time over which requests are counted, in ms. */
const window = 1000
/** How long a request waits before it is refused, in ms. */
const maxWait = 80
/** Time of a datagram or request in transit, in ms. */
const oneWayDelay = 1.5
/** Share of the datagrams that are lost. */
const loss = 0.02
/** Requests of callers, as a multiple of the bounds of all upstreams. */
const demand = 2
/** Time before the first cold upstream, in ms. */
const settleTime = 2500
/** Length of a run after that, in ms. */
const span = 16_000
/** Step of the clock, in ms. */
const step = 4

interface ColdUpstream {
  readonly id: string
  /** Times in which the upstream was cold. */
  readonly spans: Array<{ readonly from: number, to: number }>
  /** Remaining cold time according to the record in the store, in ms. */
  recordedCold: number
  /** Times at which requests arrived. */
  readonly arrivals: number[]
}

class ColdFleet {
  readonly #scenario: ColdScenario
  readonly #clock = new ManualClock()
  readonly #random: Random
  readonly #network: Network
  readonly #upstreams: ColdUpstream[]
  readonly #ids: string[]
  readonly #members = new Map<string, Member>()
  /** Gateways that cannot reach the store. */
  readonly #withoutStore = new Set<string>()
  /** Addresses on one side of a partition. */
  #partitionSide: ReadonlySet<string> = new Set()

  constructor (scenario: ColdScenario) {
    this.#scenario = scenario
    this.#random = seeded(scenario.seed)
    this.#network = new Network(this.#random, { clock: this.#clock, delay: oneWayDelay, loss })
    this.#upstreams = Array.from({ length: scenario.upstreams }, (_each, index) => ({ id: `u${index}`, spans: [], recordedCold: 0, arrivals: [] }))
    this.#ids = Array.from({ length: scenario.gateways }, (_each, index) => `g${index}`)
    this.#network.isCut = (from, to) => this.#partitionSide.has(from) !== this.#partitionSide.has(to)
  }

  async run (): Promise<ColdResult> {
    for (const id of this.#ids) await this.#start(id)
    await this.#advance(settleTime)
    const end = this.#clock.now() + span
    while (this.#clock.now() < end) {
      this.#beginCold()
      if (this.#random() < 0.5) this.#injectFault()
      await this.#advance(200 + this.#random() * 1500)
    }
    return this.#result()
  }

  async #advance (time: number): Promise<void> {
    const { rate, overshoot, slack, upstreams } = this.#scenario
    const requestsPerStep = demand * upstreams * (rate * overshoot + slack) * step / 1000
    for (const end = this.#clock.now() + time; this.#clock.now() < end;) {
      this.#clock.advance(step)
      for (let count = Math.floor(requestsPerStep + this.#random()); count > 0; count--) this.#arrive()
      for (let turn = 0; turn < 3; turn++) await Promise.resolve()
    }
  }

  /** Sends a request to a random gateway. Any upstream with room may serve it. */
  #arrive (): void {
    const member = this.#members.get(this.#pick(this.#ids))
    const order = this.#upstreams.map(({ id }) => ({ id, draw: this.#random() })).sort((a, b) => a.draw - b.draw).map(each => each.id)
    member?.request(order, maxWait, id => this.#clock.after(oneWayDelay, () => this.#upstreams.find(each => each.id === id)?.arrivals.push(this.#clock.now())))
  }

  /**
   * Makes a random upstream cold, or extends its cold time. The store has the record at once, and a record without a
   * cold time at the end.
   */
  #beginCold (): void {
    const upstream = this.#pick(this.#upstreams)
    const now = this.#clock.now()
    const time = 500 + this.#random() * 3500
    const last = upstream.spans.at(-1)
    // If the cold time were extended just before its end, gateways that read late would see a warm upstream in between.
    if (last !== undefined && last.to > now && last.to < now + propagationTime) return
    const to = Math.max(now + time, last?.to ?? 0)
    if (last !== undefined && last.to > now) last.to = to
    else upstream.spans.push({ from: now, to })
    this.#write(upstream, to - now)
    this.#clock.after(to - now, () => { if ((upstream.spans.at(-1)?.to ?? 0) <= this.#clock.now()) this.#write(upstream, 0) })
  }

  #write (upstream: ColdUpstream, recordedCold: number): void {
    upstream.recordedCold = recordedCold
    for (const id of this.#ids) this.#notify(id, upstream)
  }

  #notify (id: string, upstream: ColdUpstream): void {
    const member = this.#members.get(id)
    this.#clock.after(this.#random() * maxLag, () => {
      // A later record may have replaced the one that caused this notification, so the current one is sent.
      if (!this.#withoutStore.has(id)) member?.roster.apply([{ upstream: upstreamRecord(upstream.id, upstream.recordedCold) }])
    })
  }

  #injectFault (): void {
    const { faults } = this.#scenario
    if (faults.length === 0) return
    const time = 500 + this.#random() * 3000
    const id = this.#pick(this.#ids)
    switch (this.#pick(faults)) {
      case 'kill': return this.#kill(id, time)
      case 'store-cut': return this.#cutStore(id, time)
      case 'partition': return this.#partition(time)
    }
  }

  #kill (id: string, time: number): void {
    const member = this.#members.get(id)
    if (member === undefined || this.#withoutStore.size > 0) return
    member.peers.stop()
    this.#members.delete(id)
    this.#clock.after(time, () => { this.#start(id).catch(error => { throw error }) })
  }

  /**
   * Cuts a gateway off from the store. Skipped if no other live gateway would reach the store or if the network is
   * partitioned, because nothing could then inform the gateway that an upstream is cold.
   */
  #cutStore (id: string, time: number): void {
    const informed = [...this.#members.keys()].filter(each => each !== id && !this.#withoutStore.has(each))
    if (informed.length === 0 || this.#partitionSide.size > 0) return
    this.#withoutStore.add(id)
    this.#clock.after(time, () => {
      this.#withoutStore.delete(id)
      for (const each of this.#upstreams) this.#notify(id, each)
    })
  }

  #partition (time: number): void {
    if (this.#partitionSide.size > 0 || this.#withoutStore.size > 0) return
    this.#partitionSide = new Set(this.#ids.filter(() => this.#random() < 0.4).map(addressOf))
    this.#clock.after(time, () => { this.#partitionSide = new Set() })
  }

  async #start (id: string): Promise<void> {
    const { rate, overshoot, slack } = this.#scenario
    const member = new Member({ clock: this.#clock, random: this.#random, network: this.#network, id, service: { name: 's', connections: 1, coldRate: rate, coldTime: 0 }, coldBound: { overshoot, slack } })
    this.#members.set(id, member)
    await member.peers.start()
    member.peers.setAddresses(addressesOf(this.#ids))
    member.roster.replace(this.#upstreams.map(each => upstreamRecord(each.id, each.recordedCold)))
  }

  #pick<Item> (items: readonly Item[]): Item {
    return items[Math.floor(this.#random() * items.length)]
  }

  #result (): ColdResult {
    const { rate } = this.#scenario
    const spans = this.#upstreams.flatMap(({ spans, arrivals }) => spans.map(({ from, to }) => arrivals.filter(at => at >= from + propagationTime && at < to)))
    const cold = this.#upstreams.flatMap(each => each.spans.map(({ from, to }) => Math.max(0, Math.min(to, this.#clock.now()) - from - propagationTime)))
    return {
      maxPerSecond: Math.max(0, ...spans.map(each => maxInWindow(each, window))),
      usedShare: spans.flat().length / (rate * cold.reduce((sum, each) => sum + each, 0) / 1000),
      coldSpans: spans.length
    }
  }
}

/** Simulates one run. */
export async function simulateCold (scenario: ColdScenario): Promise<ColdResult> {
  return await new ColdFleet(scenario).run()
}
