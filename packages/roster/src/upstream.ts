import { z } from 'zod'

/** An engine's part in a replica, as the engine itself tells it. */
export const Membership = z.object({
  replica: z.string(),
  epoch: z.int(),
  /** 0 is the head. */
  rank: z.int(),
  /** Only a head is ever `open`, `closing` or `broken`. */
  state: z.enum(['joining', 'ready', 'open', 'closing', 'broken'])
})
export type Membership = z.infer<typeof Membership>

/** What an engine's replica does now. */
export type State = Membership['state']

/** One life of an upstream: an engine or a plain server. A restart makes another one, with another id. */
export const Upstream = z.object({
  id: z.string(),
  service: z.string(),
  /** `host:port`. It may be given to another upstream once this one has gone. */
  address: z.string(),
  dataCentre: z.string(),
  /** Whether it has said that it leaves. */
  leaving: z.boolean(),
  /** The fabric domain, where it is an engine. */
  domain: z.string().optional(),
  /** The models whose weights are loaded, and those that lie in the host's memory. */
  loaded: z.array(z.string()),
  staged: z.array(z.string()),
  membership: Membership.optional()
})
export type Upstream = z.infer<typeof Upstream>
