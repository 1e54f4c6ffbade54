/**
 * Finds the team of a request by the key in its Authorization header. Owns a table of the keys' digests. Stores no key.
 */
import { createHash } from 'node:crypto'
import { type CurrentConfiguration } from '@eiderwind/config'
import { type Configuration, type Team } from '@eiderwind/schema'

/** Form of an Authorization header with a key or token (RFC 6750). */
const bearer = /^Bearer\s+(\S+)$/i

/** The key in an Authorization header, or undefined if it has none. */
export function bearerKey (header: string | undefined): string | undefined {
  return header === undefined ? undefined : bearer.exec(header)?.[1]
}

/** SHA-256 of a key or token, in hex. Only digests are stored. */
export function secretDigest (secret: string): string {
  return createHash('sha256').update(secret).digest('hex')
}

/** The teams of the current configuration, by key. */
export class Teams {
  #byDigest = new Map<string, Team>()

  constructor (current: CurrentConfiguration) {
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
