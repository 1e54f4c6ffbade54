/**
 * The object API's semantics in memory: versions, conditional updates, watches. The stand-in of the platform serves it over
 * HTTP, and tests use it in place of a platform. It owns its objects; nothing survives the process.
 */
import { Err, Ok, type Result } from 'ts-results-es'
import { Fault } from '@eiderwind/fault'
import { type Node } from '@eiderwind/schema'
import { Store, type Stored } from './store.js'

interface Waiter {
  readonly key: string
  readonly version: number
  readonly done: () => void
}

/** A store that lives in this process. Its calls never fail, except a write with another version than the present one. */
export class MemoryStore extends Store {
  readonly #objects = new Map<string, Stored>()
  readonly #waiters = new Set<Waiter>()
  #nodes: Node[] = []

  /** Replaces the node list. */
  setNodes (nodes: Node[]): void {
    this.#nodes = nodes
  }

  async read (key: string): Promise<Result<Stored, Fault>> {
    return Ok(this.#at(key))
  }

  async list (prefix: string): Promise<Result<Stored[], Fault>> {
    return Ok([...this.#objects.values()].filter(each => each.key.startsWith(prefix)))
  }

  async write (key: string, value: unknown, version: number): Promise<Result<number, Fault>> {
    const present = this.#at(key)
    if (present.version !== version) return Err(new Fault('stale-revision', { detail: `The object ${key} is at version ${present.version}.` }))
    const made = version + 1
    this.#objects.set(key, { key, version: made, value })
    for (const waiter of this.#waiters) if (waiter.key === key && made > waiter.version) waiter.done()
    return Ok(made)
  }

  async watch (key: string, version: number, timeout: number): Promise<Result<Stored, Fault>> {
    if (this.#at(key).version <= version) await this.#changed(key, version, timeout)
    return Ok(this.#at(key))
  }

  async nodes (): Promise<Result<Node[], Fault>> {
    return Ok(this.#nodes)
  }

  #at (key: string): Stored {
    return this.#objects.get(key) ?? { key, version: 0, value: null }
  }

  #changed (key: string, version: number, timeout: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(done, timeout)
      const waiter: Waiter = { key, version, done }
      const waiters = this.#waiters
      waiters.add(waiter)
      function done (): void {
        clearTimeout(timer)
        waiters.delete(waiter)
        resolve()
      }
    })
  }
}
