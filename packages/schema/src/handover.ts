/**
 * What a home of keys hands to the next one: the marks of its lease and its book of runs. Sent between workers, never stored;
 * workers of two versions serve side by side, so fields are added as optional only.
 */
import { z } from 'zod'

/** Where a grant stands among those that one granter has given. */
export const Mark = z.object({ origin: z.string(), turn: z.int() })
export type Mark = z.infer<typeof Mark>

/** An answer that was given for a key. The body is Base64. */
export const KeptAnswer = z.object({ status: z.int(), headers: z.record(z.string(), z.string()), body: z.string() })
export type KeptAnswer = z.infer<typeof KeptAnswer>

/** What a home knows of one key. */
export const KeptRun = z.object({
  key: z.string(),
  /** Digest of the request. */
  request: z.int(),
  state: z.enum(['answered', 'ran', 'unknown']),
  answer: KeptAnswer.optional()
})
export type KeptRun = z.infer<typeof KeptRun>

/** All that a home knows of the keys of its slot. */
export const KeptBook = z.object({
  /** Time of minting up to which it cannot judge, in ms since the Unix epoch. */
  floor: z.number(),
  runs: z.array(KeptRun)
})
export type KeptBook = z.infer<typeof KeptBook>

/** A slot's book on its way from a home that goes away to the next one. */
export const Handover = z.object({
  service: z.string(),
  slot: z.int(),
  /** The voters that the old home went by. */
  voters: z.array(z.string()),
  /** The mark that each voter gave the old home. */
  marks: z.array(z.object({ voter: z.string(), mark: Mark })),
  book: KeptBook
})
export type Handover = z.infer<typeof Handover>
