/**
 * The datagrams by which gateways ask each other for tokens. This is the only place that knows their keys on the wire: never rename, drop or retype one. A
 * gateway of an earlier build drops them, as all that is no heartbeat.
 */
import { parseJson } from '@eiderwind/wire'
import { z } from 'zod'

const number = z.int().nonnegative()
const time = z.number().nonnegative()

const TokenMessage = z.discriminatedUnion('token', [
  /**
   * A request waits for a token of an upstream, for `patience` ms. `limit` is what the sender knows of the upstream's limit, `cold` how much it gets while it is cold and for how much longer;
   * absent where it is not, and from builds that do not say.
   */
  z.object({ token: z.literal('ask'), upstream: z.string(), number, priority: z.number(), patience: time, limit: z.tuple([time.nullable(), time]), cold: z.tuple([z.number().positive(), time]).optional() }),
  /** It waits no longer. */
  z.object({ token: z.literal('drop'), upstream: z.string(), number }),
  /** It has the token. */
  z.object({ token: z.literal('grant'), number }),
  /** There will be a token for it in `due` ms: it gets that one if its patience lasts so long, else none. */
  z.object({ token: z.literal('later'), number, due: time })
])
/** A message between the gateway that issues an upstream's tokens and one that asks for them. */
export type TokenMessage = z.infer<typeof TokenMessage>

/** The datagram of a message. */
export function encodeMessage (message: TokenMessage): string {
  return JSON.stringify(message)
}

/** The message in a datagram, or undefined where the datagram is none. */
export function decodeMessage (datagram: Buffer): TokenMessage | undefined {
  return TokenMessage.safeParse(parseJson(datagram.toString())).data
}
