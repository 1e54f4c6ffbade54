/**
 * The handover of a slot of idempotency keys from one home to the next. The home of a slot is the worker that records
 * which requests with these keys ran. It hands over its records (the book) and the marks of its lease. A handover is
 * sent between workers and never stored. Workers of two versions run at the same time, so new fields must be optional.
 */
import { z } from 'zod'

/**
 * The position of a grant in the sequence of grants of one granter: the granter's incarnation (`origin`) and the number
 * of the grant (`turn`), which increases with each new term.
 */
export const Mark = z.object({ origin: z.string(), turn: z.int() })
export type Mark = z.infer<typeof Mark>

/** The stored answer to the request with a key. The body is in Base64. */
export const EncodedAnswer = z.object({ status: z.int(), headers: z.record(z.string(), z.string()), body: z.string() })
export type EncodedAnswer = z.infer<typeof EncodedAnswer>

/** A home's record of one key. */
export const RunSnapshot = z.object({
  key: z.string(),
  /** Digest of the request. */
  request: z.int(),
  state: z.enum(['answered', 'ran', 'unknown']),
  answer: EncodedAnswer.optional()
})
export type RunSnapshot = z.infer<typeof RunSnapshot>

/** All records of a home for the keys of its slot. */
export const BookSnapshot = z.object({
  /** For keys created up to this time, the home cannot tell whether a request ran. In ms since the Unix epoch. */
  floor: z.number(),
  runs: z.array(RunSnapshot)
})
export type BookSnapshot = z.infer<typeof BookSnapshot>

/** The book of a slot, as a leaving home sends it to the next home. */
export const Handover = z.object({
  service: z.string(),
  slot: z.int(),
  /** The voters of the old home. */
  voters: z.array(z.string()),
  /** The mark of the grant that each voter gave to the old home. */
  marks: z.array(z.object({ voter: z.string(), mark: Mark })),
  book: BookSnapshot
})
export type Handover = z.infer<typeof Handover>
