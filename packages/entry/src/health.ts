import { type Configuration, type Node } from '@eiderwind/schema'
import { type Health, type NodeFact } from '@eiderwind/plan'
import { type Reports } from '@eiderwind/spread'

/** What health is judged from. */
export interface HealthFacts {
  readonly nodes: readonly Node[]
  readonly configuration: Configuration
  readonly reports: Reports
  /** Silence after which a node counts as lost, in ms. */
  readonly lostAfter: number
}

/** What is believed of each node. */
export function nodeFacts (facts: HealthFacts): NodeFact[] {
  const leaving = new Set(facts.configuration.leaving)
  const cut = cutOff(facts)
  return facts.nodes.map(node => {
    const age = facts.reports.age(node.id)
    const health = cut.has(node.id) ? 'lost' : nodeHealth(node, age, leaving, facts)
    const report = facts.reports.of(node.id)?.report
    return { node, health, lostFor: lostFor(health, age, facts, cut.has(node.id)), loaded: report?.loaded?.version }
  })
}

/**
 * Nodes that answer the entries but whose replica's head has no grant of them for long: cut from the head alone. Where
 * a head lacks most of its members, it is the head that is cut off.
 */
function cutOff ({ reports, lostAfter }: HealthFacts): Set<string> {
  const cut = new Set<string>()
  for (const { report } of reports.all) {
    const silent = (reports.age(report.worker) ?? Infinity) > lostAfter
    if (silent || report.missing.length === 0 || report.members === undefined) continue
    const most = report.missing.length > report.members / 2
    for (const id of most ? [report.worker] : report.missing) cut.add(id)
  }
  return cut
}

/** How long a lost node has been lost, in ms; one that is cut off has been so for long. */
function lostFor (health: Health, age: number | undefined, { lostAfter }: HealthFacts, cut: boolean): number {
  if (health !== 'lost') return 0
  return cut ? Infinity : Math.max(0, (age ?? 0) - lostAfter)
}

function nodeHealth (node: Node, age: number | undefined, leaving: ReadonlySet<string>, { reports, lostAfter }: HealthFacts): Health {
  if (age === undefined) return 'unheard'
  const report = reports.of(node.id)?.report
  if (age > lostAfter || report?.healthy === false) return 'lost'
  const told = node.state === 'leaving' || leaving.has(node.id) || report?.leaving === true
  return told ? 'leaving' : 'live'
}
