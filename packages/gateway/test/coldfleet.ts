/**
 * A model of cold upstreams before many gateways, with the real parts that keep limits: upstreams are cold at any moment, gateways are killed, started, cut off from each other or from
 * the store, and each reads of it later than the others. Requests are counted where they arrive.
 */
import { ManualClock, seeded, type Random } from '@eiderwind/clock'
import { Member, addressOf, addressesOf, listed, most } from './limitmember.js'
import { Network } from './network.js'

/** What a seed plays. */
export interface ColdDay {
  readonly seed: number
  readonly gateways: number
  readonly upstreams: number
  /** Requests a second that a cold upstream bears; the bound. */
  readonly rate: number
  readonly overshoot: number
  readonly slack: number
  /** What befalls gateways. */
  readonly faults: ReadonlyArray<'kill' | 'store-cut' | 'partition'>
}

/** What came of it. */
export interface ColdResult {
  /** Most requests in any one second at an upstream that had been cold for `noticeTime` at its beginning. */
  readonly most: number
  /** Requests at cold upstreams, in parts of what their rates allow. */
  readonly used: number
  readonly colds: number
}

/** Longest time from a change in the store until a gateway that reaches it reads of it, in ms. */
const longestLag = 300
/** Time within which all gateways know, also those that hear of it by heartbeats alone, one of which is lost, in ms. */
const noticeTime = 2 * 250 + longestLag
const window = 1000
const patience = 80
const distance = 1.5
const loss = 0.02
/** Requests that come a second, in parts of the bounds of all upstreams. */
const demand = 2
const settleTime = 2500
const span = 16_000
const step = 4

interface Engine {
  readonly id: string
  /** Spans in which it was cold. */
  readonly spans: Array<{ readonly from: number, to: number }>
  /** Time left by its record in the store. */
  said: number
  readonly arrivals: number[]
}

class ColdFleet {
  readonly #day: ColdDay
  readonly #clock = new ManualClock()
  readonly #random: Random
  readonly #network: Network
  readonly #engines: Engine[]
  readonly #ids: string[]
  readonly #members = new Map<string, Member>()
  /** Gateways that the store cannot be reached from, and one side of a partition. */
  readonly #storeless = new Set<string>()
  #side: ReadonlySet<string> = new Set()

  constructor (day: ColdDay) {
    this.#day = day
    this.#random = seeded(day.seed)
    this.#network = new Network(this.#random, { clock: this.#clock, time: distance, loss })
    this.#engines = Array.from({ length: day.upstreams }, (_each, index) => ({ id: `u${index}`, spans: [], said: 0, arrivals: [] }))
    this.#ids = Array.from({ length: day.gateways }, (_each, index) => `g${index}`)
    this.#network.cut = (from, to) => this.#side.has(from) !== this.#side.has(to)
  }

  async play (): Promise<ColdResult> {
    for (const id of this.#ids) await this.#start(id)
    await this.#run(settleTime)
    const end = this.#clock.now() + span
    while (this.#clock.now() < end) {
      this.#chill()
      if (this.#random() < 0.5) this.#strike()
      await this.#run(200 + this.#random() * 1500)
    }
    return this.#result()
  }

  async #run (time: number): Promise<void> {
    const { rate, overshoot, slack, upstreams } = this.#day
    const each = demand * upstreams * (rate * overshoot + slack) * step / 1000
    for (const end = this.#clock.now() + time; this.#clock.now() < end;) {
      this.#clock.advance(step)
      for (let count = Math.floor(each + this.#random()); count > 0; count--) this.#arrive()
      for (let turn = 0; turn < 3; turn++) await Promise.resolve()
    }
  }

  /** A request comes to any gateway; of all upstreams it takes any that has room. */
  #arrive (): void {
    const member = this.#members.get(this.#pick(this.#ids))
    const order = this.#engines.map(({ id }) => ({ id, draw: this.#random() })).sort((a, b) => a.draw - b.draw).map(each => each.id)
    member?.ask(order, patience, id => this.#clock.after(distance, () => this.#engines.find(each => each.id === id)?.arrivals.push(this.#clock.now())))
  }

  /** An upstream is cold from now on, or for longer. Its record says so at once, and says no longer so at the end. */
  #chill (): void {
    const engine = this.#pick(this.#engines)
    const now = this.#clock.now()
    const time = 500 + this.#random() * 3500
    const last = engine.spans.at(-1)
    // One that is cold again just when it was over has been warm for those that read late.
    if (last !== undefined && last.to > now && last.to < now + noticeTime) return
    const to = Math.max(now + time, last?.to ?? 0)
    if (last !== undefined && last.to > now) last.to = to
    else engine.spans.push({ from: now, to })
    this.#write(engine, to - now)
    this.#clock.after(to - now, () => { if ((engine.spans.at(-1)?.to ?? 0) <= this.#clock.now()) this.#write(engine, 0) })
  }

  #write (engine: Engine, said: number): void {
    engine.said = said
    for (const id of this.#ids) this.#tell(id, engine)
  }

  #tell (id: string, engine: Engine): void {
    const member = this.#members.get(id)
    this.#clock.after(this.#random() * longestLag, () => {
      // Another record may have replaced the one of which it is told.
      if (!this.#storeless.has(id)) member?.roster.apply([{ upstream: listed(engine.id, engine.said) }])
    })
  }

  #strike (): void {
    const { faults } = this.#day
    if (faults.length === 0) return
    const time = 500 + this.#random() * 3000
    const id = this.#pick(this.#ids)
    switch (this.#pick(faults)) {
      case 'kill': return this.#kill(id, time)
      case 'store-cut': return this.#cutStore(id, time)
      case 'partition': return this.#part(time)
    }
  }

  #kill (id: string, time: number): void {
    const member = this.#members.get(id)
    if (member === undefined || this.#storeless.size > 0) return
    member.peers.stop()
    this.#members.delete(id)
    this.#clock.after(time, () => { this.#start(id).catch(error => { throw error }) })
  }

  /** Someone who lives reaches the store, and all reach someone who does: nothing tells the others that an upstream is cold. */
  #cutStore (id: string, time: number): void {
    const informed = [...this.#members.keys()].filter(each => each !== id && !this.#storeless.has(each))
    if (informed.length === 0 || this.#side.size > 0) return
    this.#storeless.add(id)
    this.#clock.after(time, () => {
      this.#storeless.delete(id)
      for (const each of this.#engines) this.#tell(id, each)
    })
  }

  #part (time: number): void {
    if (this.#side.size > 0 || this.#storeless.size > 0) return
    this.#side = new Set(this.#ids.filter(() => this.#random() < 0.4).map(addressOf))
    this.#clock.after(time, () => { this.#side = new Set() })
  }

  async #start (id: string): Promise<void> {
    const { rate, overshoot, slack } = this.#day
    const member = new Member({ clock: this.#clock, random: this.#random, network: this.#network, id, service: { name: 's', connections: 1, coldRate: rate, coldTime: 0 }, coldBound: { overshoot, slack } })
    this.#members.set(id, member)
    await member.peers.start()
    member.peers.setAddresses(addressesOf(this.#ids))
    member.roster.replace(this.#engines.map(each => listed(each.id, each.said)))
  }

  #pick<Item> (items: readonly Item[]): Item {
    return items[Math.floor(this.#random() * items.length)]
  }

  #result (): ColdResult {
    const { rate } = this.#day
    const spans = this.#engines.flatMap(({ spans, arrivals }) => spans.map(({ from, to }) => arrivals.filter(at => at >= from + noticeTime && at < to)))
    const cold = this.#engines.flatMap(each => each.spans.map(({ from, to }) => Math.max(0, Math.min(to, this.#clock.now()) - from - noticeTime)))
    return {
      most: Math.max(0, ...spans.map(each => most(each, window))),
      used: spans.flat().length / (rate * cold.reduce((sum, each) => sum + each, 0) / 1000),
      colds: spans.length
    }
  }
}

/** Plays one seed. */
export async function playCold (day: ColdDay): Promise<ColdResult> {
  return await new ColdFleet(day).play()
}
