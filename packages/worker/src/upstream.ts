/**
 * The clients of what stands beside a worker: an engine or a plain service. They own their connections and time-outs; what an
 * answer means is decided by their callers.
 */
import { type Readable } from 'node:stream'
import { Agent, request, type Dispatcher } from 'undici'
import { z } from 'zod'
import { type Loaded, type UpstreamState } from './facts.js'

/** How long a question for health may take, in ms. */
const healthTimeout = 1000

/** How long an engine may take to load, in ms. */
const orderTimeout = 600_000

/** How long an engine may take to import a session, in ms. */
const importTimeout = 10_000

/** An order to load a version. */
export interface LoadOrder {
  readonly version: string
  readonly adapters: readonly string[]
  /** The fencing token: an engine that checks refuses a lower one than it has seen. */
  readonly generation: number
}

/** What stands beside a worker: asked for its health, and given orders where it is an engine. */
export abstract class Upstream {
  /** Where it listens, such as `http://127.0.0.1:9000`. */
  readonly url: string
  /** Connections for the data path. */
  readonly dispatcher = new Agent({ pipelining: 1, bodyTimeout: 0, headersTimeout: 0, keepAliveTimeout: 30_000 })

  constructor (url: string) {
    this.url = url.replace(/\/$/, '')
  }

  /** Its present state. Never rejects: no answer is a state. */
  abstract state (): Promise<UpstreamState>

  async close (): Promise<void> {
    await this.dispatcher.destroy()
  }

  protected async ask (path: string): Promise<unknown> {
    const response = await request(this.url + path, { signal: AbortSignal.timeout(healthTimeout) })
    const text = await response.body.text()
    if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`)
    return text
  }
}

/** A plain service: up while its health path answers 200, or always where it has none. */
export class PlainUpstream extends Upstream {
  readonly #path: string | undefined

  constructor (url: string, healthPath: string | undefined) {
    super(url)
    this.#path = healthPath
  }

  async state (): Promise<UpstreamState> {
    if (this.#path === undefined) return { healthy: true, loaded: undefined }
    // The error is a state: `Health` logs `engine-down` once when it begins.
    const healthy = await this.ask(this.#path).then(() => true, () => false)
    return { healthy, loaded: undefined }
  }
}

const EngineHealth = z.object({ version: z.string(), adapters: z.array(z.string()), generation: z.int() })

/** A body on its way between engines. */
export type Body = Dispatcher.ResponseData['body']

/**
 * A model engine: its health path tells what it has loaded, and it takes fenced orders at `/orders/load`. One that can
 * export and import the KV cache of a session does so at `/kv/<session>`, by GET and PUT.
 */
export class EngineUpstream extends Upstream {
  readonly #path: string

  constructor (url: string, healthPath: string) {
    super(url)
    this.#path = healthPath
  }

  async state (): Promise<UpstreamState> {
    try {
      const text = await this.ask(this.#path)
      return { healthy: true, loaded: EngineHealth.parse(JSON.parse(String(text))) satisfies Loaded }
    } catch {
      // The error is a state: `Health` logs `engine-down` once when it begins.
      return { healthy: false, loaded: undefined }
    }
  }

  /** Has the engine load a version. Resolves with its status when it has, or has refused. */
  async load (order: LoadOrder): Promise<number> {
    const response = await request(`${this.url}/orders/load`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(order),
      signal: AbortSignal.timeout(orderTimeout)
    })
    await response.body.dump()
    return response.statusCode
  }

  /** The KV cache of a session, or undefined where the engine has none. */
  async exported (session: string, timeout: number): Promise<Body | undefined> {
    const response = await request(`${this.url}/kv/${session}`, { signal: AbortSignal.timeout(timeout) })
    if (response.statusCode === 200) return response.body
    await response.body.dump()
    return undefined
  }

  /** Gives the engine the KV cache of a session. Resolves with its status. */
  async import (session: string, body: Readable): Promise<number> {
    const response = await request(`${this.url}/kv/${session}`, { method: 'PUT', body, signal: AbortSignal.timeout(importTimeout) })
    await response.body.dump()
    return response.statusCode
  }
}
