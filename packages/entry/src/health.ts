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
  return facts.nodes.map(node => {
    const age = facts.reports.age(node.id)
    const health = nodeHealth(node, age, leaving, facts)
    const report = facts.reports.of(node.id)?.report
    return { node, health, lostFor: health === 'lost' ? (age ?? 0) - facts.lostAfter : 0, loaded: report?.loaded?.version }
  })
}

function nodeHealth (node: Node, age: number | undefined, leaving: ReadonlySet<string>, { reports, lostAfter }: HealthFacts): Health {
  if (age === undefined) return 'unheard'
  const report = reports.of(node.id)?.report
  if (age > lostAfter || report?.healthy === false) return 'lost'
  const told = node.state === 'leaving' || leaving.has(node.id) || report?.leaving === true
  return told ? 'leaving' : 'live'
}
