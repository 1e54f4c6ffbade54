import { createHash } from 'node:crypto'
import { type Team } from './shape.js'

/** The digest of an API key, as it stands in a configuration: SHA-256 in lower-case hex. */
export function keyDigest (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

/** Finds the team that holds a key. */
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
