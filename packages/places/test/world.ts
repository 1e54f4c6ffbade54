/** A fleet of gateways before a few heads, on a manual clock: real issuers and askers, with datagrams that take time, get lost and come twice, and processes that die or stand still. */
import { ManualClock, seeded, type Random } from '@eiderwind/clock'
import { Member, roomOf, type Asker, type Claim, type PlaceMessage, type Room, type Wish } from '../src/index.js'

/** The room of all tests. */
export const room: Room = roomOf('s', 'm')

const heartbeatInterval = 250
/** Silence after which a gateway counts as gone, in ms. */
const heartbeatTimeout = 1000

/** How datagrams fare. */
export interface Weather {
  readonly loss: number
  readonly doubled: number
  /** Longest way of a datagram, in ms. */
  readonly delay: number
}

/** The best weather. */
export const calm: Weather = { loss: 0, doubled: 0, delay: 1 }

/** A fleet and its heads. */
export interface WorldOptions {
  readonly gateways: number
  readonly heads: number
  readonly capacity: number
  readonly seed?: number
  readonly weather?: Weather
}

/** One gateway: what it has in flight, and its parts. */
export class Gateway {
  readonly id: string
  readonly inFlight = new Map<string, number>()
  readonly #member: Member
  /** Whom it takes for the issuer. */
  owner: string
  isDead = false
  /** Until when the process stands still. */
  pausedUntil = 0
  readonly #world: World
  /** When each other gateway was heard last. */
  readonly #heardAt = new Map<string, number>()
  readonly #missed: Array<() => void> = []

  constructor (world: World, id: string, owner: string) {
    const { clock, random } = world
    this.id = id
    this.owner = owner
    this.#world = world
    this.#member = new Member({
      clock,
      id,
      dataCentre: 'dc',
      heads: () => world.heads.map(id => ({ id, dataCentre: 'dc', capacity: world.options.capacity, closedFor: 0 })),
      fullness: () => 1,
      inFlight: upstream => this.count(upstream),
      owner: () => this.owner === id ? undefined : this.owner,
      post: (to, message) => world.send(id, to, message),
      wake: () => world.wake(this),
      random
    })
  }

  get asker (): Asker {
    return this.#member.asker
  }

  /** Requests that wait here for places. */
  get waiting (): number {
    return this.#member.issuer.waiting
  }

  count (upstream: string): number {
    return this.inFlight.get(upstream) ?? 0
  }

  /** Does something once the process runs; never where it has died. */
  run (task: () => void): void {
    if (this.isDead) return
    if (this.#world.clock.now() < this.pausedUntil) this.#missed.push(task)
    else task()
  }

  /** Goes on after a pause. */
  resume (): void {
    for (const task of this.#missed.splice(0)) task()
  }

  take (from: string, message: PlaceMessage): void {
    this.#member.take(message, from)
  }

  /** Forgets the gateways that were not heard. */
  forget (): void {
    const isLive = (id: string): boolean => this.#world.now - (this.#heardAt.get(id) ?? 0) <= heartbeatTimeout
    this.#member.forget(isLive)
  }

  hear (from: string, inFlight: Readonly<Record<string, number>>, grants: Readonly<Record<string, number>>): void {
    this.#heardAt.set(from, this.#world.now)
    this.#member.hear(from, inFlight, { grants })
  }
}

/** A request that looks for room. */
export interface Request {
  readonly gateway: Gateway
  readonly claim: Claim
  /** How its search ended, and when. */
  ending: 'served' | 'refused' | 'alone' | undefined
  endedAt: number
  upstream: string | undefined
}

/** The fleet. */
export class World {
  readonly clock = new ManualClock()
  readonly options: WorldOptions
  readonly random: Random
  readonly heads: string[]
  readonly gateways: Gateway[]
  readonly requests: Request[] = []
  weather: Weather
  sent = 0
  /** Most requests at one head at any time beyond its capacity. */
  beyond = 0

  constructor (options: WorldOptions) {
    this.options = options
    this.random = seeded(options.seed ?? 1)
    this.weather = options.weather ?? calm
    this.heads = Array.from({ length: options.heads }, (_each, index) => `h${index}`)
    this.gateways = Array.from({ length: options.gateways }, (_each, index) => new Gateway(this, `g${index}`, 'g0'))
    for (const gateway of this.gateways) {
      this.clock.after(this.random() * heartbeatInterval, () => this.#beat(gateway))
    }
  }

  get now (): number {
    return this.clock.now()
  }

  /** A request comes to a gateway. */
  async ask (gateway: Gateway, wish: Partial<Wish> = {}): Promise<Request> {
    const now = this.now
    const claim = gateway.asker.claim({ room, priority: 1, team: '', work: 1, arrivedAt: now, inTimeUntil: now + 400, until: now + 400, aloneUntil: now + 110, objective: 500, besides: () => [], ...wish })
    const request: Request = { gateway, claim, ending: undefined, endedAt: 0, upstream: undefined }
    this.requests.push(request)
    this.#look(request)
    await settled()
    return request
  }

  /** The request at a head ends. */
  end (request: Request): void {
    const { gateway, upstream } = request
    if (upstream === undefined) return
    request.upstream = undefined
    gateway.inFlight.set(upstream, gateway.count(upstream) - 1)
    gateway.run(() => gateway.asker.tell(room, upstream))
  }

  /** Lets time pass, a ms at a time. */
  async advance (span: number): Promise<void> {
    for (let passed = 0; passed < span; passed++) {
      this.clock.advance(1)
      for (const gateway of this.gateways) if (this.now >= gateway.pausedUntil) gateway.resume()
      await settled()
      this.#expire()
    }
  }

  /** Requests at a head. */
  load (head: string): number {
    return this.gateways.reduce((sum, each) => sum + each.count(head), 0)
  }

  send (from: string, to: string, message: PlaceMessage): void {
    this.sent++
    const target = this.gateways.find(each => each.id === to)
    const times = this.random() < this.weather.doubled ? 2 : 1
    for (let time = 0; time < times; time++) {
      if (this.random() < this.weather.loss) continue
      this.clock.after(this.random() * this.weather.delay, () => target?.run(() => target.take(from, message)))
    }
  }

  wake (gateway: Gateway): void {
    for (const each of this.requests) if (each.gateway === gateway && each.ending === undefined) this.#look(each)
  }

  #look (request: Request): void {
    const { gateway, claim } = request
    if (gateway.isDead || request.ending !== undefined) return
    const finding = gateway.asker.find(claim)
    if (finding.kind === 'wait') return
    request.ending = finding.kind === 'place' ? 'served' : finding.kind
    request.endedAt = this.now
    if (finding.kind !== 'place') return
    request.upstream = finding.upstream
    gateway.inFlight.set(finding.upstream, gateway.count(finding.upstream) + 1)
    gateway.asker.use(claim)
    this.beyond = Math.max(this.beyond, this.load(finding.upstream) - this.options.capacity)
  }

  /** Requests that have waited as long as they can are refused, as by the timer of a gateway's queue. */
  #expire (): void {
    for (const each of this.requests) {
      if (each.ending !== undefined || each.gateway.isDead || this.now < each.claim.wish.until) continue
      each.gateway.asker.release(each.claim)
      each.ending = 'refused'
      each.endedAt = this.now
    }
  }

  #beat (gateway: Gateway): void {
    if (gateway.isDead) return
    this.clock.after(heartbeatInterval, () => this.#beat(gateway))
    gateway.run(() => {
      gateway.forget()
      const inFlight = Object.fromEntries(gateway.inFlight)
      const grants = gateway.asker.seen
      for (const other of this.gateways) {
        if (other === gateway || this.random() < this.weather.loss) continue
        this.clock.after(this.random() * this.weather.delay, () => other.run(() => other.hear(gateway.id, inFlight, grants)))
      }
    })
  }
}

/** Lets what waits for promises go on. */
async function settled (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}
