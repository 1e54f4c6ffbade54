import { type Placement, type Replica } from '@eiderwind/schema'

/** Whether no node of the placement belongs to two replicas, and no replica names a node twice. */
export function disjoint (placement: Placement): boolean {
  const members = placement.replicas.flatMap((replica: Replica) => replica.members)
  return new Set(members).size === members.length
}
