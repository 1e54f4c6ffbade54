/**
 * The datagrams in which gateways request tokens from each other. Only this module knows their keys on the wire:
 * never rename, drop or retype one. A gateway of an earlier build ignores them, like all datagrams that are not
 * heartbeats.
 */
import { parseJson } from '@eiderwind/wire'
import { z } from 'zod'

const number = z.int().nonnegative()

/** The longest time that a timer of Node.js can wait, in ms. A timer for a longer one ends at once. */
const maxTimerDelay = 2 ** 31 - 1
const time = z.number().nonnegative().max(maxTimerDelay)
const rate = z.number().nonnegative()

const TokenMessage = z.discriminatedUnion('token', [
  /**
   * A request waits for a token of an upstream, for `patience` ms. `limit` is the sender's report of the upstream's
   * limit. `cold` is the rate of the cold upstream and how much longer it is cold; it is absent if the upstream is
   * not cold, and from earlier builds.
   */
  z.object({ token: z.literal('ask'), upstream: z.string(), number, priority: z.number(), patience: time, limit: z.tuple([rate.nullable(), z.number().nonnegative()]), cold: z.tuple([z.number().positive(), time]).optional() }),
  /** The request no longer waits. */
  z.object({ token: z.literal('drop'), upstream: z.string(), number }),
  /** The request has the token. */
  z.object({ token: z.literal('grant'), number }),
  /**
   * A token for the request is due in `due` ms. The request gets that token if it waits that long, and otherwise
   * none.
   */
  z.object({ token: z.literal('later'), number, due: time })
])
/** A message between the gateway that issues an upstream's tokens and one that requests them. */
export type TokenMessage = z.infer<typeof TokenMessage>

/** Encodes a message as a datagram. */
export function encodeMessage (message: TokenMessage): string {
  return JSON.stringify(message)
}

/** Decodes a datagram. Returns undefined if it is not one of these messages. */
export function decodeMessage (datagram: Buffer): TokenMessage | undefined {
  return TokenMessage.safeParse(parseJson(datagram.toString())).data
}
