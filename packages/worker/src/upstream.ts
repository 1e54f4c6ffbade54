/**
 * The clients of the upstream beside a worker: an engine or a plain service. Each owns its connections and time-outs.
 * Their callers decide what an answer means.
 */
import { type Readable } from 'node:stream'
import { Agent, request, type Dispatcher } from 'undici'
import { z } from 'zod'
import { Timeout, withTimeout, type Clock } from '@eiderwind/clock'
import { Connections } from '@eiderwind/wire'
import { type Loaded, type UpstreamState } from './facts.js'

/** How long a health check may take, in ms. */
const healthTimeout = 1000

/** How long an engine may take to load, in ms. */
const loadTimeout = 600_000

/** How long an engine may take to import a session, in ms. */
const importTimeout = 10_000

/** Maximum time to establish a connection, and how long an idle one is kept open, in ms. */
const connectTime = 10_000
const idleTime = 30_000

/** An order to load a version. */
export interface LoadOrder {
  readonly version: string
  readonly adapters: readonly string[]
  /** The fencing token. An engine that checks it refuses a token lower than the highest that it has seen. */
  readonly generation: number
}

/** The client of the upstream beside a worker. */
export abstract class Upstream {
  /** Address of the upstream, such as `http://127.0.0.1:9000`. */
  readonly url: string
  /** Connections for the data path. */
  readonly connections = new Connections({ connectTime, idleTime })

  protected readonly clock: Clock

  constructor (clock: Clock, url: string) {
    this.clock = clock
    this.url = url.replace(/\/$/, '')
  }

  /** Reads the present state. Never rejects: an upstream that does not answer is not healthy. */
  abstract readState (): Promise<UpstreamState>

  async close (): Promise<void> {
    this.connections.close()
  }

  protected async fetchText (path: string): Promise<unknown> {
    return await withTimeout(this.clock, healthTimeout, async signal => {
      const response = await request(this.url + path, { signal })
      const text = await response.body.text()
      if (response.statusCode !== 200) throw new Error(`the health check was answered with status ${response.statusCode} instead of 200`)
      return text
    })
  }
}

/** A plain service. It is healthy while its health path answers 200, or always if it has no health path. */
export class PlainUpstream extends Upstream {
  readonly #path: string | undefined

  constructor (clock: Clock, url: string, healthPath: string | undefined) {
    super(clock, url)
    this.#path = healthPath
  }

  async readState (): Promise<UpstreamState> {
    if (this.#path === undefined) return { healthy: true, loaded: undefined }
    // The error is not logged here: `Health` logs `engine-down` once when the upstream goes down.
    const healthy = await this.fetchText(this.#path).then(() => true, () => false)
    return { healthy, loaded: undefined }
  }
}

const EngineHealth = z.object({ version: z.string(), adapters: z.array(z.string()), generation: z.int() })

/** A body that is moved between engines. */
export type Body = Dispatcher.ResponseData['body']

/**
 * A model engine. Its health path reports what it has loaded, and it takes fenced orders at `/orders/load`. An engine
 * that can export and import the KV cache of a session does so at `/kv/<session>`, by GET and PUT.
 */
export class EngineUpstream extends Upstream {
  readonly #path: string
  /** Connections for orders. */
  readonly #dispatcher = new Agent({ pipelining: 1, bodyTimeout: 0, headersTimeout: 0, keepAliveTimeout: idleTime })

  constructor (clock: Clock, url: string, healthPath: string) {
    super(clock, url)
    this.#path = healthPath
  }

  override async close (): Promise<void> {
    await super.close()
    await this.#dispatcher.destroy()
  }

  async readState (): Promise<UpstreamState> {
    try {
      const text = await this.fetchText(this.#path)
      return { healthy: true, loaded: EngineHealth.parse(JSON.parse(String(text))) satisfies Loaded }
    } catch {
      // The error is not logged here: `Health` logs `engine-down` once when the upstream goes down.
      return { healthy: false, loaded: undefined }
    }
  }

  /**
   * Orders the engine to load a version. Resolves with the status of the answer once the engine has loaded it or
   * refused.
   */
  async load (order: LoadOrder): Promise<number> {
    return await withTimeout(this.clock, loadTimeout, async signal => {
      const response = await request(`${this.url}/orders/load`, {
        method: 'POST',
        dispatcher: this.#dispatcher,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(order),
        signal
      })
      await response.body.dump()
      return response.statusCode
    })
  }

  /**
   * Reads the KV cache of a session; undefined if the engine has none. The time-out of `timeout` ms covers the body too.
   */
  async exportSession (session: string, timeout: number): Promise<Body | undefined> {
    const limit = new Timeout(this.clock, timeout)
    const response = await request(`${this.url}/kv/${session}`, { signal: limit.signal }).catch(error => {
      limit.cancel()
      throw error
    })
    response.body.once('close', () => limit.cancel())
    if (response.statusCode === 200) return response.body
    await response.body.dump()
    return undefined
  }

  /** Sends the engine the KV cache of a session. Resolves with the status of the answer. */
  async importSession (session: string, body: Readable): Promise<number> {
    return await withTimeout(this.clock, importTimeout, async signal => {
      const response = await request(`${this.url}/kv/${session}`, { method: 'PUT', body, signal })
      await response.body.dump()
      return response.statusCode
    })
  }
}
