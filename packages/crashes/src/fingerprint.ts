/**
 * Computes the fingerprint that identifies a request across retries. A caller retries under another id and perhaps at
 * another gateway, so only the content identifies the request: its team and what it requests. Pure. Gateways exchange
 * and store fingerprints, so the function must not change.
 */
import { createHash } from 'node:crypto'

/** The content that is equal for all tries of a request. */
export interface RequestContent {
  readonly method: string
  readonly host: string
  /** Path and query. */
  readonly target: string
  /** Name of the caller's team; empty where the route needs no key. */
  readonly team: string
  readonly body: Buffer | undefined
}

/**
 * Length of a fingerprint in hexadecimal digits. These 64 bits give one collision in 37 million sets of a million
 * requests.
 */
const fingerprintDigits = 16

/** The fingerprint of a request. */
export function fingerprint ({ method, host, target, team, body }: RequestContent): string {
  // JSON delimits the parts, so no two contents give the same string.
  const hash = createHash('sha256').update(JSON.stringify([method, host, target, team]))
  if (body !== undefined) hash.update(body)
  return hash.digest('hex').slice(0, fingerprintDigits)
}
