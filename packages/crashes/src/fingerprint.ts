/**
 * By what a request is known again. Its caller sends it anew under another id, perhaps to another gateway, so only its content shows that it
 * is the same: whose it is, and what is asked for. Pure; the fingerprint is exchanged between gateways and stored, so it must not change.
 */
import { createHash } from 'node:crypto'

/** What makes two tries the same request. */
export interface RequestContent {
  readonly method: string
  readonly host: string
  /** Path and query. */
  readonly target: string
  /** Name of the caller's team; empty where the route needs no key. */
  readonly team: string
  readonly body: Buffer | undefined
}

/** Length of a fingerprint in hexadecimal digits: 64 bits, so that among a million requests two are alike once in 37 million such sets. */
const fingerprintDigits = 16

/** The fingerprint of a request. */
export function fingerprint ({ method, host, target, team, body }: RequestContent): string {
  // JSON keeps the parts apart: no part can be continued by the next one.
  const hash = createHash('sha256').update(JSON.stringify([method, host, target, team]))
  if (body !== undefined) hash.update(body)
  return hash.digest('hex').slice(0, fingerprintDigits)
}
