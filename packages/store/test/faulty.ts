import { Err, type Result } from 'ts-results-es'
import { Fault } from '@eiderwind/fault'
import { MemoryStore, type Stored } from '../src/index.js'

/** How one call of a faulty store goes: as it should, applied with its answer lost, lost on its way, or refused. */
export type Turn = 'well' | 'lost-answer' | 'lost-call' | 'down'

/** A fake for tests of what lies above: a store whose reads and writes go as a list says, and well afterwards. */
export class FaultyStore extends MemoryStore {
  readonly #turns: Turn[]

  constructor (turns: readonly Turn[] = []) {
    super()
    this.#turns = [...turns]
  }

  /** Adds what befalls the calls after those that are planned already. */
  plan (turns: readonly Turn[]): void {
    this.#turns.push(...turns)
  }

  override async read (key: string): Promise<Result<Stored, Fault>> {
    return this.#turns.shift() === 'down' ? Err(new Fault('store-down')) : await super.read(key)
  }

  override async write (key: string, value: unknown, version: number): Promise<Result<number, Fault>> {
    const turn = this.#turns.shift()
    if (turn === 'down') return Err(new Fault('store-down'))
    if (turn === 'lost-call') return Err(new Fault('store-unknown'))
    const written = await super.write(key, value, version)
    return turn === 'lost-answer' ? Err(new Fault('store-unknown')) : written
  }
}
