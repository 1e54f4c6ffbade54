/** Measures the cost of decisions within one process: a plan, reading a configuration and choosing a replica. */
import { seeded } from '@eiderwind/clock'
import { apply } from '@eiderwind/config'
import { RepairingPlanner, emptyPlacement, type Facts } from '@eiderwind/plan'
import { BalancedPolicy, type Candidate } from '@eiderwind/route'
import { Configuration, emptyConfiguration, type Node, type Placement } from '@eiderwind/schema'
import { ofRuns, type Figures } from './figures.js'
import { slopeFigure, type Point } from './fit.js'

const runs = 9

/** Options of the planner: `restartTime` in ms. */
const options = { restartTime: 30_000 }

/** Measures each cost at several sizes. */
export function measureDecisions (figures: Figures): void {
  measurePlanner(figures)
  measureConfiguration(figures)
  measureChoice(figures)
}

/** The planner's input with `count` nodes in domains of 72, all placed in replicas of 4, with one node lost. */
function plannedFacts (count: number): Facts {
  const nodes = Array.from({ length: count }, (_each, index) => fact(index))
  const services = [{ kind: 'model' as const, name: 'support', replicas: Math.floor(count / 4) - 2, members: 4, version: 'v1', adapters: [], checksOrders: true, concurrency: 64, queue: 256 }]
  const planner = new RepairingPlanner(options)
  let placements: Placement[] = [...new Set(nodes.map(each => each.node.domain))].map(emptyPlacement)
  for (const { domain } of placements) {
    const { placement } = planner.plan(domain, { services, nodes, placements, serving: new Set() })
    placements = placements.map(each => each.domain === domain ? placement : each)
  }
  const lost = nodes.map((each, index) => index === 3 ? { ...each, health: 'lost' as const, lostFor: Infinity } : each)
  return { services, nodes: lost, placements, serving: new Set(placements.flatMap(each => each.replicas.map(replica => replica.id))) }
}

function fact (index: number) {
  const domain = `fabric-${Math.floor(index / 72)}`
  const node: Node = { id: `node-${index}`, domain, dataCentre: `dc-${Math.floor(index / 72)}`, region: 'r', address: 'a:1', accelerators: 4, state: 'live' }
  return { node, health: 'live' as const, lostFor: 0, loaded: 'v1' }
}

function measurePlanner (figures: Figures): void {
  const points: Point[] = []
  for (const count of [30, 300, 1300]) {
    const facts = plannedFacts(count)
    const planner = new RepairingPlanner(options)
    const spans = timesOf(() => planner.plan('fabric-0', facts))
    points.push(...spans.map(value => ({ size: count, value })))
    figures.add(ofRuns(`planner.decision_${count}`, 'ms', spans, `one plan of one domain with ${count} nodes known in all, one of them lost`))
  }
  figures.add(slopeFigure('planner.decision', 'ms/node', points, 'time of one plan by nodes known in all'))
}

function measureConfiguration (figures: Figures): void {
  const points: Point[] = []
  const sizes: Point[] = []
  for (const count of [10, 100, 1000]) {
    let configuration = emptyConfiguration
    for (let index = 0; index < count; index++) {
      configuration = apply(configuration, { type: 'put-team', team: { name: `team-${index}`, priority: 1, keys: ['0'.repeat(64)] } }).unwrap()
    }
    const text = JSON.stringify(configuration)
    sizes.push({ size: count, value: text.length })
    points.push(...timesOf(() => Configuration.parse(JSON.parse(text))).map(value => ({ size: count, value })))
  }
  figures.add(slopeFigure('configuration.parse', 'ms/team', points, 'reading and checking a configuration by teams in it'))
  figures.add(slopeFigure('configuration.bytes', 'bytes/team', sizes, 'size of a configuration by teams in it'))
}

function measureChoice (figures: Figures): void {
  const random = seeded(1)
  const policy = new BalancedPolicy({ random })
  const points: Point[] = []
  for (const count of [10, 100, 325]) {
    const candidates: Candidate[] = Array.from({ length: count }, (_each, index) => ({ id: `r${index}`, reported: Math.floor(random() * 64), concurrency: 64, open: 1, unseen: 0 }))
    const spans = timesOf(() => {
      for (let index = 0; index < 100; index++) policy.pick(candidates, { session: ['r3'], prefix: [] })
    })
    points.push(...spans.map(value => ({ size: count, value: value * 10 })))
  }
  figures.add(slopeFigure('route.choice', 'µs/replica', points, 'time of one choice by replicas to choose from'))
}

function timesOf (task: () => unknown): number[] {
  for (let index = 0; index < 20; index++) task()
  return Array.from({ length: runs }, () => {
    const startedAt = performance.now()
    task()
    return performance.now() - startedAt
  })
}
