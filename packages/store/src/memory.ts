/**
 * An implementation of the object API in memory: versions, conditional updates, watches. The stand-in of the platform
 * serves it over HTTP, and tests use it in place of a platform. It owns its objects, which are lost when the process
 * ends.
 */
import { Err, Ok, type Result } from 'ts-results-es'
import { Fault } from '@eiderwind/fault'
import { type Node } from '@eiderwind/schema'
import { Store, type StoredObject } from './store.js'

interface Waiter {
  readonly key: string
  readonly version: number
  readonly done: () => void
}

/**
 * A store in the memory of this process. Its calls never fail, except for a write whose version is not the current one.
 */
export class MemoryStore extends Store {
  readonly #objects = new Map<string, StoredObject>()
  readonly #waiters = new Set<Waiter>()
  #nodes: Node[] = []

  /** Replaces the node list. */
  setNodes (nodes: Node[]): void {
    this.#nodes = nodes
  }

  async read (key: string): Promise<Result<StoredObject, Fault>> {
    return Ok(this.#get(key))
  }

  async list (prefix: string): Promise<Result<StoredObject[], Fault>> {
    return Ok([...this.#objects.values()].filter(each => each.key.startsWith(prefix)))
  }

  async write (key: string, value: unknown, version: number): Promise<Result<number, Fault>> {
    const current = this.#get(key)
    if (current.version !== version) return Err(new Fault('stale-revision', { detail: `The object ${key} is at version ${current.version}.` }))
    const newVersion = version + 1
    this.#objects.set(key, { key, version: newVersion, value })
    for (const waiter of this.#waiters) if (waiter.key === key && newVersion > waiter.version) waiter.done()
    return Ok(newVersion)
  }

  async watch (key: string, version: number, timeout: number): Promise<Result<StoredObject, Fault>> {
    if (this.#get(key).version <= version) await this.#waitForChange(key, version, timeout)
    return Ok(this.#get(key))
  }

  async nodes (): Promise<Result<Node[], Fault>> {
    return Ok(this.#nodes)
  }

  #get (key: string): StoredObject {
    return this.#objects.get(key) ?? { key, version: 0, value: null }
  }

  #waitForChange (key: string, version: number, timeout: number): Promise<void> {
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
