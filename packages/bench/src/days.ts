/**
 * Failure days over the pure planners: facts in, placements out, on a clock of whole seconds. Not a model of the
 * cluster: a node is there or not, and a node that is new to a replica loads for a known time, at most so many at once
 * (the weight store's rate).
 */
import { seeded, type Random } from '@eiderwind/clock'
import { FirstFit, Repairing, emptyPlacement, type Facts, type NodeFact, type Planner } from '@eiderwind/plan'
import { type ModelService, type Node, type Placement, type Replica } from '@eiderwind/schema'
import { ofRuns, type Figures } from './figures.js'

const day = 86_400
const seeds = [1, 2, 3]

/** Seconds until a silent node counts as lost, and between two plans of a domain. */
const lostAfter = 4
const planInterval = 2

/** Seconds after the last event for which everything is looked at again: longer than any load or patience. */
const restless = 150

/** One kind of day. Spans are in seconds. */
interface Scene {
  readonly name: string
  readonly nodes: number
  readonly domainSize: number
  readonly replicas: number
  readonly members: number
  readonly days: number
  /** A day: nodes that fail and are replaced hours later, and nodes that restart. */
  readonly failures: number
  readonly restarts: number
  readonly replaceTime: number
  readonly restartTime: number
  readonly loadTime: number
  /** Nodes that load at once. */
  readonly loads: number
  /** Nodes of one domain that go at once in the first hour, and stay away for the replace time. */
  readonly rack: number
}

const today: Scene = { name: 'today', nodes: 30, domainSize: 10, replicas: 6, members: 4, days: 30, failures: 0.7, restarts: 2.1, replaceTime: 4 * 3600, restartTime: 60, loadTime: 120, loads: 4, rack: 0 }
const grown: Scene = { name: 'grown', nodes: 1332, domainSize: 74, replicas: 318, members: 4, days: 0.1, failures: 30, restarts: 90, replaceTime: 4 * 3600, restartTime: 60, loadTime: 120, loads: 40, rack: 0 }
const rack: Scene = { ...today, name: 'rack', nodes: 60, domainSize: 30, replicas: 12, days: 0.25, failures: 0, restarts: 0, loads: 2, rack: 6 }

/** What one run came to, a day. */
interface Outcome {
  /** Replica-minutes in which a wanted replica did not serve. */
  readonly downtime: number
  /** Accelerator-hours of nodes that were there and served nothing. */
  readonly stranded: number
  /** Loads from the weight store. */
  readonly loads: number
}

export function measureDays (figures: Figures): void {
  for (const scene of [today, rack, grown]) {
    const planners: [string, () => Planner][] = [
      ['baseline', () => new FirstFit()],
      ['repairing', () => new Repairing({ restart: scene.restartTime * 1000 })]
    ]
    for (const [name, make] of planners) {
      const outcomes = seeds.map(seed => new Days(scene, make(), seeded(seed)).run())
      const note = `${name === 'baseline' ? 'first fit, whole rebuild' : 'swaps lost nodes'}; ${scene.nodes} nodes, ${scene.replicas} replicas of ${scene.members}, ${scene.failures} failures and ${scene.restarts} restarts a day, ${scene.rack > 0 ? `${scene.rack} nodes of a domain lost at once, ` : ''}${scene.loads} loads of ${scene.loadTime} s at once, ${scene.days} days, seeds ${seeds.join(' ')}`
      figures.add(ofRuns(`days.${scene.name}.${name}.downtime`, 'replica-minutes a day', outcomes.map(each => each.downtime), note))
      figures.add(ofRuns(`days.${scene.name}.${name}.loads`, 'loads a day', outcomes.map(each => each.loads), note))
      figures.add(ofRuns(`days.${scene.name}.${name}.stranded`, 'accelerator-hours a day', outcomes.map(each => each.stranded), note))
    }
  }
}

interface NodeState {
  readonly node: Node
  /** When it is back, or 0 while it is there. */
  backAt: number
  lostAt: number
  /** The replica whose share it has loaded. */
  loaded: string
}

class Days {
  readonly #scene: Scene
  readonly #planner: Planner
  readonly #random: Random
  readonly #nodes: readonly NodeState[]
  readonly #service: ModelService
  #placements: Placement[]
  readonly #loading = new Map<string, number>()
  #down = 0
  #idle = 0
  #eventAt = 0
  #missing = 0
  #unused = 0
  #loads = 0

  constructor (scene: Scene, planner: Planner, random: Random) {
    this.#scene = scene
    this.#planner = planner
    this.#random = random
    this.#nodes = Array.from({ length: scene.nodes }, (_each, index) => ({ node: makeNode(index, scene.domainSize), backAt: 0, lostAt: 0, loaded: '' }))
    this.#service = { kind: 'model', name: 'm', replicas: scene.replicas, members: scene.members, version: 'v', adapters: [], checksOrders: true, concurrency: 1, queue: 1 }
    this.#placements = [...new Set(this.#nodes.map(each => each.node.domain))].map(emptyPlacement)
  }

  run (): Outcome {
    this.#plan(0)
    for (const { replicas } of this.#placements) for (const replica of replicas) this.#settle(replica)
    const end = this.#scene.days * day
    for (let now = 1; now <= end; now++) this.#second(now)
    return { downtime: this.#down / 60 / this.#scene.days, stranded: this.#idle / 3600 / this.#scene.days, loads: this.#loads / this.#scene.days }
  }

  #settle (replica: Replica): void {
    for (const id of replica.members) this.#node(id).loaded = replica.id
  }

  #second (now: number): void {
    this.#fail(now)
    if (now - this.#eventAt <= restless) {
      this.#load(now)
      if (now % planInterval === 0) this.#plan(now)
      this.#count()
    }
    this.#down += this.#missing
    this.#idle += this.#unused
  }

  #fail (now: number): void {
    const { failures, restarts, replaceTime, restartTime, rack } = this.#scene
    for (const state of this.#nodes) {
      if (state.backAt === 0 || state.backAt > now) continue
      state.backAt = 0
      this.#eventAt = now
    }
    if (rack > 0 && now === 3600) this.#rack(now, now + replaceTime)
    if (this.#random() < failures / day) this.#take(now, now + replaceTime)
    if (this.#random() < restarts / day) this.#take(now, now + restartTime)
  }

  /** Takes so many nodes of the first domain, chosen at random. */
  #rack (now: number, backAt: number): void {
    const order = Array.from({ length: this.#scene.domainSize }, (_each, index) => index)
    for (let taken = 0; taken < this.#scene.rack; taken++) {
      const [index] = order.splice(Math.floor(this.#random() * order.length), 1)
      this.#takeOne(this.#nodes[index], now, backAt)
    }
  }

  #take (now: number, backAt: number): void {
    this.#takeOne(this.#nodes[Math.floor(this.#random() * this.#nodes.length)], now, backAt)
  }

  #takeOne (state: NodeState, now: number, backAt: number): void {
    if (state.backAt > 0) return
    state.backAt = backAt
    state.lostAt = now
    this.#eventAt = now
    state.loaded = ''
    this.#loading.delete(state.node.id)
  }

  /** Lets members that are new to their replica load, as many at once as the weight store allows. */
  #load (now: number): void {
    for (const { replicas } of this.#placements) {
      for (const replica of replicas) {
        for (const id of replica.members) this.#loadOne(replica.id, this.#node(id), now)
      }
    }
  }

  #loadOne (replica: string, state: NodeState, now: number): void {
    if (state.backAt > 0 || state.loaded === replica) return
    const { id } = state.node
    const readyAt = this.#loading.get(id)
    if (readyAt === undefined) {
      this.#eventAt = now
      if (this.#loading.size >= this.#scene.loads) return
      this.#loading.set(id, now + this.#scene.loadTime)
      this.#loads++
    } else if (readyAt <= now) {
      this.#loading.delete(id)
      state.loaded = replica
      this.#eventAt = now
    }
  }

  #plan (now: number): void {
    const facts = this.#facts(now)
    for (const { domain } of this.#placements) {
      const { placement, orders } = this.#planner.plan(domain, { ...facts, placements: this.#placements })
      if (orders.length > 0) this.#placements = this.#placements.map(each => each.domain === domain ? placement : each)
    }
    const used = new Set(this.#placements.flatMap(each => each.replicas.flatMap(replica => replica.members)))
    for (const id of this.#loading.keys()) if (!used.has(id)) this.#loading.delete(id)
  }

  #facts (now: number): Facts {
    const nodes = this.#nodes.map((state): NodeFact => {
      const lost = state.backAt > 0 && now - state.lostAt >= lostAfter
      return { node: state.node, health: lost ? 'lost' : 'live', lostFor: lost ? (now - state.lostAt - lostAfter) * 1000 : 0, loaded: state.loaded === '' ? undefined : 'v' }
    })
    return { services: [this.#service], nodes, placements: this.#placements, serving: new Set() }
  }

  #count (): void {
    let serving = 0
    let busy = 0
    for (const { replicas } of this.#placements) {
      for (const replica of replicas) {
        if (!replica.members.every(id => this.#serves(id, replica.id))) continue
        serving++
        busy += replica.members.length
      }
    }
    const there = this.#nodes.filter(each => each.backAt === 0).length
    this.#missing = Math.max(0, this.#scene.replicas - serving)
    this.#unused = (there - busy) * this.#nodes[0].node.accelerators
  }

  #serves (id: string, replica: string): boolean {
    const state = this.#node(id)
    return state.backAt === 0 && state.loaded === replica
  }

  #node (id: string): NodeState {
    return this.#nodes[Number(id.slice(2))]
  }
}

function makeNode (index: number, domainSize: number): Node {
  const domain = `f${Math.floor(index / domainSize)}`
  return { id: `n-${index}`, domain, dataCentre: domain, region: 'r', address: 'a:1', accelerators: 4, state: 'live' }
}
