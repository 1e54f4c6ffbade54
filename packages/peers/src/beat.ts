import { z } from 'zod'

/** What an entry tells others of itself, several times a second. */
export const Beat = z.object({
  id: z.string(),
  /** Revision of the configuration in force there. */
  revision: z.int(),
  /** Whether it reaches the platform's store and can act for services. */
  able: z.boolean(),
  /** Its requests in flight, by upstream. */
  loads: z.record(z.string(), z.int()),
  /** Heads whose streams stand still for it. */
  suspects: z.array(z.string()),
  /** Its requests in flight or waiting, by model. */
  models: z.record(z.string(), z.int()),
  /** Whether it has ever had a request of a caller. */
  served: z.boolean()
})
export type Beat = z.infer<typeof Beat>
