/**
 * Derives the assignment of a worker from the configuration, the placements and the lists of voters. Pure functions. An
 * entry sends the assignment to the worker in its answer to a report.
 */
import { type Assignment, type Configuration, type VoterList, type Node, type Peer, type Placement, type PlainService } from '@eiderwind/schema'

/** Inputs of an assignment. */
export interface AssignmentFacts {
  readonly configuration: Configuration
  readonly nodes: readonly Node[]
  readonly placements: ReadonlyMap<string, Placement>
  readonly homes: ReadonlyMap<string, VoterList>
}

/** The assignment of the worker of node `id`, or undefined if this entry does not know enough to give one. */
export function assignment (id: string, facts: AssignmentFacts): Assignment | undefined {
  const node = facts.nodes.find(each => each.id === id)
  if (node === undefined) return undefined
  return node.service === undefined ? modelAssignment(node, facts) : plainAssignment(node.service, facts)
}

function modelAssignment (node: Node, { placements, configuration, nodes }: AssignmentFacts): Assignment | undefined {
  const placement = placements.get(node.domain)
  if (placement === undefined) return undefined
  const { revision } = placement
  const replica = placement.replicas.find(each => each.members.includes(node.id))
  if (replica === undefined) return { kind: 'spare', revision }
  const service = configuration.services.find(each => each.name === replica.service)
  if (service?.kind !== 'model') return { kind: 'spare', revision }
  const { id, generation, members, version, adapters, state } = replica
  const { name, checksOrders, concurrency, queue } = service
  return {
    kind: 'model',
    revision,
    service: name,
    replica: id,
    generation,
    head: members[0],
    members: peers(members, nodes),
    version,
    adapters,
    state,
    checksOrders,
    concurrency,
    queue
  }
}

function plainAssignment (name: string, { homes, configuration, nodes }: AssignmentFacts): Assignment | undefined {
  const voters = homes.get(name)
  const service = configuration.services.find((each): each is PlainService => each.kind === 'plain' && each.name === name)
  if (voters === undefined || service === undefined) return undefined
  const { concurrency, queue } = service
  return { kind: 'plain', revision: voters.revision, service: name, voters: peers(voters.voters, nodes), concurrency, queue }
}

function peers (ids: readonly string[], nodes: readonly Node[]): Peer[] {
  return ids.map(id => ({ id, address: nodes.find(each => each.id === id)?.address ?? '' }))
}
