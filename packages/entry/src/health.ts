/**
 * Health of nodes and replicas, derived from the reports that this entry has received. Pure functions. Health is a
 * belief. Whether a head may serve is decided by its lease alone. A head holds its lease by grants: a grant is the
 * consent of one member of the replica for one lease period. The generation of a replica is a number that identifies
 * its current set of members.
 */
import { type Configuration, type Node, type Replica } from '@eiderwind/schema'
import { type Health, type NodeFact } from '@eiderwind/plan'
import { type Reports } from '@eiderwind/spread'

/** Inputs of the health of nodes. */
export interface HealthFacts {
  readonly nodes: readonly Node[]
  readonly configuration: Configuration
  readonly reports: Reports
  /** Silence after which a node counts as lost, in ms. */
  readonly lostAfter: number
  /**
   * Data centre of this entry. From other data centres, only reports of heads and plain workers arrive, and they arrive
   * later.
   */
  readonly dataCentre: string
}

/** Upper bound of the extra delay of a report in other data centres, in ms. */
const maxFarDelay = 12_000

/**
 * The health of each node. If there is no report of a node in another data centre, the node counts as live, or as
 * leaving if the platform's node list or the configuration says so.
 */
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

/** Ids of the replicas whose current head is not lost and reports that it serves the current generation. */
export function servingReplicas (replicas: readonly Replica[], nodes: readonly NodeFact[], reports: Reports): Set<string> {
  const lost = new Set(nodes.filter(each => each.health === 'lost').map(each => each.node.id))
  const serving = replicas.filter(({ id, generation, members: [head] }) => {
    const report = reports.of(head)?.report
    return !lost.has(head) && report?.serving === true && report.replica === id && report.generation === generation
  })
  return new Set(serving.map(each => each.id))
}

/**
 * Nodes that are isolated within their replica: they report to entries, but the head of their replica has had no grant
 * from them for a long time. If a head lacks the grants of most of its members, the head itself is the isolated node.
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

/**
 * How long a lost node has been lost, in ms. It is infinite for an isolated node, since a head reports a member as
 * missing only after a long time.
 */
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
