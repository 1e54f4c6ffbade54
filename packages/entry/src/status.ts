/**
 * The status of the system for operators, derived from the state that this entry has received. Pure functions.
 */
import { type MessageInitShape } from '@bufbuild/protobuf'
import { type CurrentConfiguration } from '@eiderwind/config'
import { type NodeFact } from '@eiderwind/plan'
import { type StatusSchema } from '@eiderwind/rpc'
import { type EntryAddress, type Replica } from '@eiderwind/schema'
import { type Reports } from '@eiderwind/spread'
import { type EntryBoard } from './facts.js'
import { nodeFacts, servingReplicas } from './health.js'

/** Inputs of a status. */
export interface StatusFacts {
  readonly board: EntryBoard
  readonly current: CurrentConfiguration
  readonly reports: Reports
  /** Silence after which a node counts as lost, in ms. */
  readonly lostAfter: number
  readonly self: EntryAddress
}

/** The status of every node, replica and entry that this entry knows. */
export function status (facts: StatusFacts): MessageInitShape<typeof StatusSchema> {
  const { board, current, reports, lostAfter, self } = facts
  const replicas = [...board.read('placements').values()].flatMap(each => each.replicas)
  const nodes = nodeFacts({ nodes: board.read('nodes')?.nodes ?? [], configuration: current.configuration, reports, lostAfter, dataCentre: self.dataCentre })
  const serving = servingReplicas(replicas, nodes, reports)
  const live = new Set(board.read('live').map(each => each.id))
  return {
    revision: BigInt(current.revision),
    platform: board.read('platformAnswers'),
    replicas: replicas.map(replica => replicaStatus(replica, serving.has(replica.id), reports)),
    nodes: nodes.map(fact => nodeStatus(fact, replicas, reports)),
    entries: board.read('entries').map(({ id, dataCentre }) => ({ id, dataCentre, live: live.has(id) }))
  }
}

function replicaStatus ({ id, service, generation, members, version }: Replica, serving: boolean, reports: Reports) {
  const report = reports.of(members[0])?.report
  const current = report?.replica === id ? report : undefined
  return {
    id,
    service,
    generation: BigInt(generation),
    members,
    version,
    serving,
    running: current?.running ?? 0,
    queued: current?.queued ?? 0
  }
}

function nodeStatus ({ node, health }: NodeFact, replicas: readonly Replica[], reports: Reports) {
  const age = reports.age(node.id)
  return {
    id: node.id,
    domain: node.domain,
    dataCentre: node.dataCentre,
    health,
    service: node.service ?? '',
    replica: replicas.find(each => each.members.includes(node.id))?.id ?? '',
    accelerators: node.accelerators,
    age: BigInt(age === undefined ? -1 : Math.round(age)),
    slots: health === 'lost' ? [] : reports.of(node.id)?.report.slots.map(each => each.slot) ?? []
  }
}
