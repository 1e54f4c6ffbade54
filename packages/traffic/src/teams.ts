/**
 * Team look-up by API key. A configuration contains only digests of keys, so that neither a log line nor a message
 * between gateways can leak a key.
 */
import { createHash } from 'node:crypto'
import { type Team } from './shape.js'

/** The digest of an API key, as in a configuration: SHA-256 in lower-case hex. */
export function keyDigest (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

/** Finds the team that owns an API key. If two teams have the same key, the later team owns it. */
export class TeamTable {
  readonly #teams = new Map<string, Team>()

  constructor (teams: readonly Team[]) {
    for (const team of teams) {
      for (const digest of team.keys) this.#teams.set(digest, team)
    }
  }

  find (key: string): Team | undefined {
    return this.#teams.get(keyDigest(key))
  }
}
