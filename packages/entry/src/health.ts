/**
 * What an entry believes of nodes and replicas, from what it has heard. Pure; the lease of a head, and no belief, decides
 * whether it may serve.
 */
import { type Configuration, type Node, type Replica } from '@eiderwind/schema'
import { type Health, type NodeFact } from '@eiderwind/plan'
import { type Reports } from '@eiderwind/spread'

/** What health is judged from. */
export interface HealthFacts {
  readonly nodes: readonly Node[]
  readonly configuration: Configuration
  readonly reports: Reports
  /** Silence after which a node counts as lost, in ms. */
  readonly lostAfter: number
  /** Data centre of this entry: of others it hears later, and of heads and plain workers only. */
  readonly dataCentre: string
}

/** How much later than in its own data centre a node is heard of in others, in ms, at the most. */
const maxFarDelay = 12_000

/** What is believed of each node. Nodes of other data centres that nobody tells of are as the platform lists them. */
export function nodeFacts (facts: HealthFacts): NodeFact[] {
  const leaving = new Set(facts.configuration.leaving)
  const isolated = isolatedNodes(facts)
  return facts.nodes.map(node => {
    const age = facts.reports.age(node.id)
    const health = isolated.has(node.id) ? 'lost' : nodeHealth(node, age, leaving, facts)
    const report = facts.reports.of(node.id)?.report
    return { node, health, lostFor: lostFor(health, age, facts, isolated.has(node.id)), loaded: report?.loaded?.version }
  })
}

/** Ids of the replicas whose present head, in the present generation, says that it serves and is not lost. */
export function servingReplicas (replicas: readonly Replica[], nodes: readonly NodeFact[], reports: Reports): Set<string> {
  const lost = new Set(nodes.filter(each => each.health === 'lost').map(each => each.node.id))
  const serving = replicas.filter(({ id, generation, members: [head] }) => {
    const report = reports.of(head)?.report
    return !lost.has(head) && report?.serving === true && report.replica === id && report.generation === generation
  })
  return new Set(serving.map(each => each.id))
}

/**
 * Nodes that answer the entries but whose replica's head has no grant of them for long: cut from the head alone. Where
 * a head lacks most of its members, it is the head that is cut off.
 */
function isolatedNodes ({ reports, lostAfter }: HealthFacts): Set<string> {
  const isolated = new Set<string>()
  for (const { report } of reports.all) {
    const isSilent = (reports.age(report.worker) ?? Infinity) > lostAfter
    if (isSilent || report.missing.length === 0 || report.members === undefined) continue
    const lacksMost = report.missing.length > report.members / 2
    for (const id of lacksMost ? [report.worker] : report.missing) isolated.add(id)
  }
  return isolated
}

/** How long a lost node has been lost, in ms; one that is cut off has been so for long. */
function lostFor (health: Health, age: number | undefined, { lostAfter }: HealthFacts, isIsolated: boolean): number {
  if (health !== 'lost') return 0
  return isIsolated ? Infinity : Math.max(0, (age ?? 0) - lostAfter)
}

function nodeHealth (node: Node, age: number | undefined, leaving: ReadonlySet<string>, { reports, lostAfter, dataCentre }: HealthFacts): Health {
  const isFar = node.dataCentre !== dataCentre
  if (age === undefined && !isFar) return 'unheard'
  const report = reports.of(node.id)?.report
  if ((age ?? 0) > lostAfter + (isFar ? maxFarDelay : 0) || report?.healthy === false) return 'lost'
  const isLeaving = node.state === 'leaving' || leaving.has(node.id) || report?.leaving === true
  return isLeaving ? 'leaving' : 'live'
}
