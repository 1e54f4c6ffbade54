/**
 * An upstream as the store lists it, in the types of this project. The adapter (`platform/src/upstreams.ts`) converts
 * the store's records to them. A gateway sends them in this form to a gateway that cannot read the store's list, so the
 * field names are names on the wire: never rename, drop or retype a field, and make new fields optional.
 */
import { Address } from '@eiderwind/address'
import { z } from 'zod'

/** Upper bound on the length of a text or list, which bounds what heartbeats and log lines repeat. Far above any use. */
const maxLength = 512

/**
 * The highest epoch that an engine may report. A planner assigns epochs above all that are reported. They must stay
 * exact integers, also when many more follow.
 */
export const maxEpoch = 2 ** 48

const Text = z.string().max(maxLength)

/** An engine's part in a replica, as reported by the engine itself. */
export const Membership = z.object({
  /** Name of the replica. */
  replica: Text,
  epoch: z.int().max(maxEpoch),
  /** Rank in the replica. 0 is the head. */
  rank: z.int(),
  /** Only a head can be `open`, `closing` or `broken`. */
  state: z.enum(['joining', 'ready', 'open', 'closing', 'broken'])
})
export type Membership = z.infer<typeof Membership>

/** One incarnation of an upstream, which is an engine or a plain server. */
export const Upstream = z.object({
  /**
   * Identity of this incarnation. State about an upstream is stored under it, so that nothing from one incarnation
   * affects the next.
   */
  id: Text.min(1),
  /**
   * The name under which it is listed and which it reports itself. It is the same in each of its incarnations. Absent
   * if it equals the id.
   */
  name: Text.optional(),
  /**
   * When this incarnation began, in Unix ms by its own machine's clock. It is compared only between incarnations of one
   * name. Absent if the upstream does not report it.
   */
  born: z.int().optional(),
  service: Text,
  /** `host:port`. It may be assigned to another upstream after this one is gone. */
  address: Address,
  dataCentre: Text,
  /** Whether it has announced that it is about to stop. */
  leaving: z.boolean(),
  /** The fabric domain of an engine. */
  domain: Text.optional(),
  /** Models whose weights are loaded. */
  loaded: z.array(Text).max(maxLength),
  /** Models whose weights are in the host's memory. */
  staged: z.array(Text).max(maxLength),
  /**
   * How much longer it is cold, in ms from when its record is read. This is a remaining time, because the clocks of
   * machines differ and a cold time that is read late must not end early. Absent if its record does not report that it
   * is cold.
   */
  cold: z.number().positive().optional(),
  /** Absent if the engine is in no replica. */
  membership: Membership.optional()
})
export type Upstream = z.infer<typeof Upstream>

/** The name under which an upstream is listed. */
export function listedName ({ id, name }: Pick<Upstream, 'id' | 'name'>): string {
  return name ?? id
}

/**
 * Completes a record with the weights that the engine has in use. An engine that has left its replica retains these
 * weights until it loads others, although its record lists none. It can serve the same model again without a load.
 */
export function withWeightsInUse (record: Upstream, before: Upstream | undefined): Upstream {
  const isOutsideReplica = record.membership === undefined && record.loaded.length === 0
  return isOutsideReplica && before !== undefined && before.loaded.length > 0 ? { ...record, loaded: before.loaded } : record
}
