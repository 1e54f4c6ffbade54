/**
 * The stored objects about nodes and replicas: the platform's node list, placements, voters, and addresses of entries.
 * Stored objects must stay readable, so new fields need a default and fields are never renamed.
 */
import { Address } from '@eiderwind/address'
import { z } from 'zod'

/** A node in the platform's node list. */
export const Node = z.object({
  id: z.string(),
  domain: z.string(),
  dataCentre: z.string(),
  region: z.string(),
  /** `host:port` of the worker on the node. */
  address: Address,
  accelerators: z.int().min(0),
  /** The plain service that runs on the node; undefined if the node runs an engine. */
  service: z.string().optional(),
  state: z.enum(['live', 'leaving'])
})
export type Node = z.infer<typeof Node>

/** A replica of a model service. Its first member is its head. */
export const Replica = z.object({
  id: z.string(),
  service: z.string(),
  /** Increases with every change of the replica. It is the fencing token of orders to its engines. */
  generation: z.int(),
  members: z.array(z.string()).min(1),
  version: z.string(),
  adapters: z.array(z.string()),
  state: z.enum(['serving', 'leaving'])
})
export type Replica = z.infer<typeof Replica>

/** The replicas of one fabric domain: the object `placement/<domain>`. */
export const Placement = z.object({
  domain: z.string(),
  /** Increases with every update of the object. */
  revision: z.int(),
  /** The latest generation assigned to a replica of this domain. */
  generation: z.int(),
  replicas: z.array(Replica)
})
export type Placement = z.infer<typeof Placement>

/**
 * The workers that vote on the homes of a plain service's idempotency keys: the object `homes/<service>`. See
 * `handover.ts` for homes.
 */
export const VoterList = z.object({
  service: z.string(),
  revision: z.int(),
  voters: z.array(z.string())
})
export type VoterList = z.infer<typeof VoterList>

/** The registration of an entry in the object `entries/<data centre>`. */
export const EntryAddress = z.object({
  id: z.string(),
  dataCentre: z.string(),
  region: z.string(),
  /** `host:port` at which other processes of the system reach the entry. */
  peer: Address,
  /** A UUID of version 7, created at each start: later incarnations compare greater. Older builds have none. */
  incarnation: z.string().optional()
})
export type EntryAddress = z.infer<typeof EntryAddress>

/**
 * The entries of one data centre. An entry that is not valid is left out: it must not keep the others from registering.
 * The next of them that registers writes the list without it.
 */
export const EntryList = z.object({
  dataCentre: z.string(),
  entries: z.array(EntryAddress.nullable().catch(null)).transform(entries => entries.filter(each => each !== null))
})
export type EntryList = z.infer<typeof EntryList>
