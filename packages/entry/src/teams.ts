/**
 * Teams by the key in an Authorization header. Owns a table of digests; no key is kept.
 */
import { createHash } from 'node:crypto'
import { type Current } from '@eiderwind/config'
import { type Configuration, type Team } from '@eiderwind/schema'

/** The scheme of the Authorization header that keys and tokens come in (RFC 6750). */
const bearer = /^Bearer\s+(\S+)$/i

/** The key in an Authorization header. */
export function bearerKey (header: string | undefined): string | undefined {
  return header === undefined ? undefined : bearer.exec(header)?.[1]
}

/** SHA-256 of a key or token, in hex. Only digests are stored. */
export function secretDigest (secret: string): string {
  return createHash('sha256').update(secret).digest('hex')
}

/** Finds the team that a key belongs to. */
export class Teams {
  #byDigest = new Map<string, Team>()

  constructor (current: Current) {
    this.#update(current.configuration)
    current.listen(configuration => this.#update(configuration))
  }

  /** The team of the key in an Authorization header. */
  find (header: string | undefined): Team | undefined {
    const key = bearerKey(header)
    return key === undefined ? undefined : this.#byDigest.get(secretDigest(key))
  }

  #update ({ teams }: Configuration): void {
    this.#byDigest = new Map(teams.flatMap(team => team.keys.map(key => [key, team])))
  }
}
