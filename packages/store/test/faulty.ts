import { Err, type Result } from 'ts-results-es'
import { Fault } from '@eiderwind/fault'
import { MemoryStore, type StoredObject } from '../src/index.js'

/**
 * The outcome of one call to a faulty store. `well`: it succeeds. `lost-answer`: it is applied, and its answer is lost.
 * `lost-call`: it is not applied, and the caller cannot tell. `down`: it is refused. `silent`: a read is not answered in
 * time.
 */
export type CallOutcome = 'well' | 'lost-answer' | 'lost-call' | 'down' | 'silent'

/** A fake store for tests of its clients. Reads and writes have the listed outcomes; later calls succeed. */
export class FaultyStore extends MemoryStore {
  readonly #outcomes: CallOutcome[]

  constructor (outcomes: readonly CallOutcome[] = []) {
    super()
    this.#outcomes = [...outcomes]
  }

  /** Appends the outcomes of later reads and writes. */
  addOutcomes (outcomes: readonly CallOutcome[]): void {
    this.#outcomes.push(...outcomes)
  }

  override async read (key: string): Promise<Result<StoredObject, Fault>> {
    const outcome = this.#outcomes.shift()
    if (outcome === 'silent') return Err(new Fault('store-silent'))
    return outcome === 'down' ? Err(new Fault('store-down')) : await super.read(key)
  }

  override async write (key: string, value: unknown, version: number): Promise<Result<number, Fault>> {
    const outcome = this.#outcomes.shift()
    if (outcome === 'down') return Err(new Fault('store-down'))
    if (outcome === 'lost-call') return Err(new Fault('store-unknown'))
    const written = await super.write(key, value, version)
    return outcome === 'lost-answer' ? Err(new Fault('store-unknown')) : written
  }
}
