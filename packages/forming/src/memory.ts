/** Placements in memory, for tests and emulations: they last as long as the process. */
import { Err, Ok, type Result } from 'ts-results-es'
import { Placements, emptyPlacement, type Placement, type WriteFailure } from './placement.js'

/** Keeps placements in memory, with versions, for any number of planners. */
export class MemoryPlacements extends Placements {
  readonly #kept = new Map<string, { placement: Placement, version: number }>()

  async read (domain: string): Promise<Result<{ readonly placement: Placement, readonly version: number }, string>> {
    return Ok(this.#kept.get(domain) ?? { placement: emptyPlacement(domain), version: 0 })
  }

  async write (placement: Placement, version: number): Promise<Result<number, WriteFailure>> {
    const present = this.#kept.get(placement.domain)?.version ?? 0
    if (present !== version) return Err('conflict')
    this.#kept.set(placement.domain, { placement, version: version + 1 })
    return Ok(version + 1)
  }
}
