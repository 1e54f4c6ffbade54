/** An in-memory store of placements for tests and emulations. Its content ends with the process. */
import { Err, Ok, type Result } from 'ts-results-es'
import { Placements, emptyPlacement, type Placement, type WriteFailure } from './placement.js'

/** Stores placements with their versions in memory, for any number of planners. */
export class MemoryPlacements extends Placements {
  readonly #stored = new Map<string, { placement: Placement, version: number }>()

  async read (domain: string): Promise<Result<{ readonly placement: Placement, readonly version: number }, string>> {
    return Ok(this.#stored.get(domain) ?? { placement: emptyPlacement(domain), version: 0 })
  }

  async write (placement: Placement, version: number): Promise<Result<number, WriteFailure>> {
    const present = this.#stored.get(placement.domain)?.version ?? 0
    if (present !== version) return Err('conflict')
    this.#stored.set(placement.domain, { placement, version: version + 1 })
    return Ok(version + 1)
  }
}
