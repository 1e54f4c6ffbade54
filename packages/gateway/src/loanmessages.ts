/**
 * The datagrams in which gateways ask each other for retries. Only this module knows their keys on the wire: never
 * rename, drop or retype one. A gateway of an earlier build ignores them, like all datagrams that are not heartbeats.
 */
import { parseJson } from '@eiderwind/wire'
import { z } from 'zod'

const number = z.int().nonnegative()

const LoanMessage = z.discriminatedUnion('retry', [
  /** The sender is short of `count` retries of a service. */
  z.object({ retry: z.literal('ask'), service: z.string(), number, count: z.int().positive() }),
  /** The receiver may make `count` more retries, at once. */
  z.object({ retry: z.literal('lend'), number, count: number })
])

/** A message between a gateway that is short of retries and one that may lend some. */
export type LoanMessage = z.infer<typeof LoanMessage>

/** Encodes a message as a datagram. */
export function encodeLoan (message: LoanMessage): string {
  return JSON.stringify(message)
}

/** Decodes a datagram. Returns undefined if it is not one of these messages. */
export function decodeLoan (datagram: Buffer): LoanMessage | undefined {
  return LoanMessage.safeParse(parseJson(datagram.toString())).data
}
