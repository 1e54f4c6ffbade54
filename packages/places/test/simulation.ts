/**
 * Simulates a fleet of gateways in front of a few heads, on a manual clock. It uses the real issuers and place clients.
 * Datagrams are delayed, lost and duplicated, and processes die or are paused.
 */
import { ManualClock, seeded, type Random } from '@eiderwind/clock'
import { PlaceCoordinator, roomOf, type PlaceClient, type Claim, type PlaceMessage, type Room, type PlaceRequirements } from '../src/index.js'

/** The room of all tests. */
export const room: Room = roomOf('s', 'm')

const heartbeatInterval = 250
/** Time without a heartbeat after which a gateway is no longer live, in ms. */
const heartbeatTimeout = 1000

/** The behaviour of the network. */
export interface NetworkConditions {
  readonly loss: number
  readonly duplication: number
  /** Upper bound of the transit time of a datagram, in ms. */
  readonly delay: number
}

/** No loss, no duplicates and little delay. */
export const reliableNetwork: NetworkConditions = { loss: 0, duplication: 0, delay: 1 }

/** The size of the fleet, its heads and its network. */
export interface SimulationOptions {
  readonly gateways: number
  readonly heads: number
  readonly capacity: number
  readonly seed?: number
  readonly network?: NetworkConditions
}

/** One gateway with its requests in flight and its part in the shared queues. */
export class Gateway {
  readonly id: string
  readonly inFlight = new Map<string, number>()
  readonly #coordinator: PlaceCoordinator
  /** The gateway that this one considers the issuer. */
  owner: string
  isDead = false
  /** When the pause of the process ends. */
  pausedUntil = 0
  readonly #simulation: Simulation
  /** When the last heartbeat of each other gateway arrived. */
  readonly #lastHeartbeatAt = new Map<string, number>()
  readonly #deferred: Array<() => void> = []

  constructor (simulation: Simulation, id: string, owner: string) {
    const { clock, random } = simulation
    this.id = id
    this.owner = owner
    this.#simulation = simulation
    this.#coordinator = new PlaceCoordinator({
      clock,
      id,
      dataCentre: 'dc',
      heads: () => simulation.heads.map(id => ({ id, dataCentre: 'dc', capacity: simulation.options.capacity, closedFor: 0 })),
      fullness: () => 1,
      inFlight: upstream => this.count(upstream),
      owner: () => this.owner === id ? undefined : this.owner,
      post: (to, message) => simulation.send(id, to, message),
      wake: () => simulation.wake(this),
      random
    })
  }

  get placeClient (): PlaceClient {
    return this.#coordinator.placeClient
  }

  /** Requests that wait here for places. */
  get waiting (): number {
    return this.#coordinator.issuer.waiting
  }

  count (upstream: string): number {
    return this.inFlight.get(upstream) ?? 0
  }

  /** Runs a task, after the pause if the process is paused; never if the process has died. */
  run (task: () => void): void {
    if (this.isDead) return
    if (this.#simulation.clock.now() < this.pausedUntil) this.#deferred.push(task)
    else task()
  }

  /** Continues after a pause. */
  resume (): void {
    for (const task of this.#deferred.splice(0)) task()
  }

  receive (from: string, message: PlaceMessage): void {
    this.#coordinator.receive(message, from)
  }

  /** Removes the gateways whose heartbeats have stopped. */
  forget (): void {
    const isLive = (id: string): boolean => this.#simulation.now - (this.#lastHeartbeatAt.get(id) ?? 0) <= heartbeatTimeout
    this.#coordinator.forget(isLive)
  }

  receiveHeartbeat (from: string, inFlight: Readonly<Record<string, number>>, grants: Readonly<Record<string, number>>): void {
    this.#lastHeartbeatAt.set(from, this.#simulation.now)
    this.#coordinator.receiveHeartbeat(from, inFlight, { grants })
  }
}

/** A request that searches for room. */
export interface Request {
  readonly gateway: Gateway
  readonly claim: Claim
  /** How the search ended, and when. */
  outcome: 'served' | 'refused' | 'alone' | undefined
  endedAt: number
  upstream: string | undefined
}

/** The simulated fleet. */
export class Simulation {
  readonly clock = new ManualClock()
  readonly options: SimulationOptions
  readonly random: Random
  readonly heads: string[]
  readonly gateways: Gateway[]
  readonly requests: Request[] = []
  network: NetworkConditions
  sent = 0
  /** Maximum number of requests beyond its capacity at any head at any time. */
  maxExcess = 0

  constructor (options: SimulationOptions) {
    this.options = options
    this.random = seeded(options.seed ?? 1)
    this.network = options.network ?? reliableNetwork
    this.heads = Array.from({ length: options.heads }, (_each, index) => `h${index}`)
    this.gateways = Array.from({ length: options.gateways }, (_each, index) => new Gateway(this, `g${index}`, 'g0'))
    for (const gateway of this.gateways) {
      this.clock.after(this.random() * heartbeatInterval, () => this.#sendHeartbeat(gateway))
    }
  }

  get now (): number {
    return this.clock.now()
  }

  /** Starts a request at a gateway. */
  async request (gateway: Gateway, requirements: Partial<PlaceRequirements> = {}): Promise<Request> {
    const now = this.now
    const claim = gateway.placeClient.claim({ room, priority: 1, team: '', work: 1, arrivedAt: now, inTimeUntil: now + 400, until: now + 400, aloneUntil: now + 110, objective: 500, excluded: () => [], ...requirements })
    const request: Request = { gateway, claim, outcome: undefined, endedAt: 0, upstream: undefined }
    this.requests.push(request)
    this.#search(request)
    await settled()
    return request
  }

  /** Ends the request at its head. */
  end (request: Request): void {
    const { gateway, upstream } = request
    if (upstream === undefined) return
    request.upstream = undefined
    gateway.inFlight.set(upstream, gateway.count(upstream) - 1)
    gateway.run(() => gateway.placeClient.sendCount(room, upstream))
  }

  /** Advances the clock, one ms at a time. */
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
    const times = this.random() < this.network.duplication ? 2 : 1
    for (let time = 0; time < times; time++) {
      if (this.random() < this.network.loss) continue
      this.clock.after(this.random() * this.network.delay, () => target?.run(() => target.receive(from, message)))
    }
  }

  wake (gateway: Gateway): void {
    for (const each of this.requests) if (each.gateway === gateway && each.outcome === undefined) this.#search(each)
  }

  #search (request: Request): void {
    const { gateway, claim } = request
    if (gateway.isDead || request.outcome !== undefined) return
    const decision = gateway.placeClient.find(claim)
    if (decision.kind === 'wait') return
    request.outcome = decision.kind === 'place' ? 'served' : decision.kind
    request.endedAt = this.now
    if (decision.kind !== 'place') return
    request.upstream = decision.upstream
    gateway.inFlight.set(decision.upstream, gateway.count(decision.upstream) + 1)
    gateway.placeClient.use(claim)
    this.maxExcess = Math.max(this.maxExcess, this.load(decision.upstream) - this.options.capacity)
  }

  /** Refuses requests that have waited as long as they can, like the timer of a gateway's queue. */
  #expire (): void {
    for (const each of this.requests) {
      if (each.outcome !== undefined || each.gateway.isDead || this.now < each.claim.requirements.until) continue
      each.gateway.placeClient.release(each.claim)
      each.outcome = 'refused'
      each.endedAt = this.now
    }
  }

  #sendHeartbeat (gateway: Gateway): void {
    if (gateway.isDead) return
    this.clock.after(heartbeatInterval, () => this.#sendHeartbeat(gateway))
    gateway.run(() => {
      gateway.forget()
      const inFlight = Object.fromEntries(gateway.inFlight)
      const grants = gateway.placeClient.lastGrants
      for (const other of this.gateways) {
        if (other === gateway || this.random() < this.network.loss) continue
        this.clock.after(this.random() * this.network.delay, () => other.run(() => other.receiveHeartbeat(gateway.id, inFlight, grants)))
      }
    })
  }
}

/** Lets pending promise callbacks run. */
async function settled (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}
