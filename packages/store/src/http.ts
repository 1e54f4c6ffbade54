/**
 * The client of the platform's object API, in the protocol of docs/operators/platform.md. It owns a connection pool and
 * the time-out of each call, and sorts failures into those that certainly had no effect and those that may have had one.
 */
import { Agent, request, type Dispatcher } from 'undici'
import { Err, Ok, type Result } from 'ts-results-es'
import { Fault } from '@eiderwind/fault'
import { Node } from '@eiderwind/schema'
import { Store, type Stored } from './store.js'

/** Options of the client. */
export interface HttpStoreOptions {
  /** Such as `http://127.0.0.1:7000`. */
  readonly url: string
  /** How long a call may take, in ms. Default: 2000. */
  readonly timeout?: number
}

interface Reply {
  readonly status: number
  readonly version: number
  readonly body: unknown
}

/** How long a call may take unless the settings say otherwise, in ms. */
const defaultTimeout = 2000

/** Most connections to the object API, and how long an idle one is kept, in ms. */
const mostConnections = 32
const keepAlive = 10_000

/** HTTP statuses of the protocol (RFC 9110) that the client tells apart. */
const status = { ok: 200, notFound: 404, preconditionFailed: 412, serverError: 500 } as const

/** Errors after which a request was certainly never sent. */
const unsent = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH'])

/**
 * The object API over HTTP, as docs/operators/platform.md describes it: an object is a resource under `/objects/`, its
 * version is its ETag, a conditional update is a PUT with If-Match or If-None-Match (RFC 9110, section 13), a watch
 * is a GET that waits.
 */
export class HttpStore extends Store {
  readonly #url: string
  readonly #timeout: number
  readonly #agent = new Agent({ connections: mostConnections, keepAliveTimeout: keepAlive })

  constructor (options: HttpStoreOptions) {
    super()
    this.#url = options.url.replace(/\/$/, '')
    this.#timeout = options.timeout ?? defaultTimeout
  }

  async read (key: string): Promise<Result<Stored, Fault>> {
    return (await this.#call('GET', `/objects/${key}`)).andThen(reply => stored(key, reply))
  }

  async list (prefix: string): Promise<Result<Stored[], Fault>> {
    const reply = await this.#call('GET', `/objects?prefix=${encodeURIComponent(prefix)}`)
    return reply.map(({ body }) => body as Stored[])
  }

  async write (key: string, value: unknown, version: number): Promise<Result<number, Fault>> {
    const condition: Record<string, string> = version === 0 ? { 'if-none-match': '*' } : { 'if-match': `"${version}"` }
    const reply = await this.#call('PUT', `/objects/${key}`, { headers: condition, body: JSON.stringify(value) })
    return reply.andThen(({ status: answered, version: made }) => {
      if (answered === status.preconditionFailed) return Err(new Fault('stale-revision', { detail: `The object ${key} is no longer at version ${version}.` }))
      return Ok(made)
    })
  }

  async watch (key: string, version: number, timeout: number): Promise<Result<Stored, Fault>> {
    const reply = await this.#call('GET', `/objects/${key}?after=${version}&wait=${timeout}`, { timeout: timeout + this.#timeout })
    return reply.andThen(each => stored(key, each))
  }

  async nodes (): Promise<Result<Node[], Fault>> {
    const reply = await this.#call('GET', '/nodes')
    return reply.andThen(({ body }) => {
      const nodes = Node.array().safeParse(body)
      return nodes.success ? Ok(nodes.data) : Err(new Fault('store-down', { detail: 'The node list has another shape than expected.' }))
    })
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #call (method: Dispatcher.HttpMethod, path: string, options: { headers?: Record<string, string>, body?: string, timeout?: number } = {}): Promise<Result<Reply, Fault>> {
    try {
      const response = await request(this.#url + path, {
        method,
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(options.timeout ?? this.#timeout),
        headers: { 'content-type': 'application/json', ...options.headers },
        body: options.body
      })
      const text = await response.body.text()
      if (response.statusCode >= status.serverError) return Err(lost(method, `The object API answered ${response.statusCode}.`))
      const version = Number(String(response.headers.etag ?? '"0"').replaceAll('"', ''))
      return Ok({ status: response.statusCode, version, body: text === '' ? null : JSON.parse(text) })
    } catch (error) {
      const code = (error as { code?: string }).code ?? ''
      const detail = `The object API does not answer (${code || (error as Error).name}).`
      return Err(unsent.has(code) ? new Fault('store-down', { detail }) : lost(method, detail))
    }
  }
}

function stored (key: string, reply: Reply): Result<Stored, Fault> {
  if (reply.status === status.notFound) return Ok({ key, version: 0, value: null })
  if (reply.status !== status.ok) return Err(new Fault('store-down', { detail: `The object API answered ${reply.status} for ${key}.` }))
  return Ok({ key, version: reply.version, value: reply.body })
}

function lost (method: string, detail: string): Fault {
  return new Fault(method === 'PUT' ? 'store-unknown' : 'store-down', { detail })
}
