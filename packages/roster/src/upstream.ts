/**
 * An upstream as the store lists it, in the project's words. The adapter (`platform/src/upstreams.ts`) makes these
 * from the store's records. A gateway sends them in this form to one that cannot read the store's list, so field names are
 * names on the wire: never rename, drop or retype one, and make new ones optional.
 */
import { z } from 'zod'

/** An engine's part in a replica, as the engine itself reports it. */
export const Membership = z.object({
  /** Name of the replica. */
  replica: z.string(),
  epoch: z.int(),
  /** Place in the replica. 0 is the head. */
  rank: z.int(),
  /** Only a head is ever `open`, `closing` or `broken`. */
  state: z.enum(['joining', 'ready', 'open', 'closing', 'broken'])
})
export type Membership = z.infer<typeof Membership>

/** One life of an upstream, an engine or a plain server. */
export const Upstream = z.object({
  /** Identity of this life: what is kept of an upstream is kept under it, so that nothing of one life counts in the next. */
  id: z.string(),
  /** Under what it is listed, and what it calls itself: the same in each of its lives. Absent where that is its id. */
  name: z.string().optional(),
  /** When this life began, in Unix ms by its own machine's clock: compared between lives of one name only. Absent where it does not say. */
  born: z.int().optional(),
  service: z.string(),
  /** `host:port`. It may be given to another upstream once this one has gone. */
  address: z.string(),
  dataCentre: z.string(),
  /** Whether it has announced that it is about to stop. */
  leaving: z.boolean(),
  /** The fabric domain of an engine. */
  domain: z.string().optional(),
  /** Models whose weights are loaded. */
  loaded: z.array(z.string()),
  /** Models whose weights lie in the host's memory. */
  staged: z.array(z.string()),
  /**
   * For how much longer it is cold, in ms from when its record is read: a time left, since machines' clocks differ, and one that is read late must not end early. Absent where its
   * record does not say that it is cold.
   */
  cold: z.number().positive().optional(),
  /** Absent where the engine is in no replica. */
  membership: Membership.optional()
})
export type Upstream = z.infer<typeof Upstream>

/** The name under which an upstream is listed. */
export function listedName ({ id, name }: Pick<Upstream, 'id' | 'name'>): string {
  return name ?? id
}

/**
 * An engine that has left its replica keeps the weights that it had in use until it loads others, though its record names none then: it serves the same model
 * again without a load.
 */
export function withWeightsInUse (record: Upstream, before: Upstream | undefined): Upstream {
  const isOut = record.membership === undefined && record.loaded.length === 0
  return isOut && before !== undefined && before.loaded.length > 0 ? { ...record, loaded: before.loaded } : record
}
