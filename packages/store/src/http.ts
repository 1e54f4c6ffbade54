/**
 * The client of the platform's object API. docs/operators/platform.md describes the protocol. It owns a connection pool
 * and the time-out of each call. It separates failures that certainly had no effect from failures that may have had
 * one.
 */
import { Agent, request, type Dispatcher } from 'undici'
import { withTimeout, type Clock } from '@eiderwind/clock'
import { Err, Ok, type Result } from 'ts-results-es'
import { Fault } from '@eiderwind/fault'
import { Node } from '@eiderwind/schema'
import { Store, type StoredObject } from './store.js'

/** Options of the client. */
export interface HttpStoreOptions {
  readonly clock: Clock
  /** The address of the platform, such as `http://127.0.0.1:7000`. */
  readonly url: string
  /** Time-out of a call, in ms. Default: 2000. */
  readonly timeout?: number
  /** Sends the calls. The store closes it. Default: a connection pool of its own. */
  readonly dispatcher?: Dispatcher
  /** Called with the reason why nodes are left out, whenever it changes. Default: nothing. */
  readonly invalid?: (reason: string) => void
}

interface Reply {
  readonly status: number
  readonly version: number
  readonly body: unknown
}

interface CallOptions {
  readonly headers?: Record<string, string>
  readonly body?: string
  /** Time-out of this call, in ms. */
  readonly timeout?: number
}

/** An answer before its version and body are parsed. */
interface RawReply {
  readonly statusCode: number
  readonly etag: string
  readonly text: string
}

/** Default time-out of a call. */
const defaultTimeoutMs = 2000

/** Maximum length of the reason why nodes are left out, in characters. */
const maxReasonLength = 500

/** Maximum number of connections to the object API. */
const maxConnections = 32

/** How long an idle connection stays open. */
const keepAliveMs = 10_000

/** The HTTP status codes (RFC 9110) that the client distinguishes. */
const status = { ok: 200, notFound: 404, preconditionFailed: 412, serverError: 500 } as const

/** System calls that establish a connection. If one of them fails, the request was certainly not sent. */
const connectingCalls = new Set(['connect', 'getaddrinfo'])

/** The error code that the client library uses when a connection cannot be established in time. */
const connectTimeoutCode = 'UND_ERR_CONNECT_TIMEOUT'

/**
 * The object API over HTTP. An object is a resource under `/objects/`, and its version is the ETag. A conditional
 * update is a PUT with If-Match or If-None-Match (RFC 9110, section 13). A watch is a GET that waits for a change.
 */
export class HttpStore extends Store {
  readonly #clock: Clock
  readonly #url: string
  readonly #timeout: number
  readonly #dispatcher: Dispatcher
  readonly #reportInvalid: (reason: string) => void
  /** Why nodes of the last list were left out; empty if none was. */
  #invalid = ''

  constructor (options: HttpStoreOptions) {
    super()
    this.#clock = options.clock
    this.#url = options.url.replace(/\/$/, '')
    this.#timeout = options.timeout ?? defaultTimeoutMs
    this.#reportInvalid = options.invalid ?? (() => {})
    this.#dispatcher = options.dispatcher ?? new Agent({ connections: maxConnections, keepAliveTimeout: keepAliveMs, headersTimeout: 0, bodyTimeout: 0 })
  }

  async read (key: string): Promise<Result<StoredObject, Fault>> {
    return (await this.#call('GET', `/objects/${key}`)).andThen(reply => stored(key, reply))
  }

  async list (prefix: string): Promise<Result<StoredObject[], Fault>> {
    const reply = await this.#call('GET', `/objects?prefix=${encodeURIComponent(prefix)}`)
    return reply.map(({ body }) => body as StoredObject[])
  }

  async write (key: string, value: unknown, version: number): Promise<Result<number, Fault>> {
    const condition: Record<string, string> = version === 0 ? { 'if-none-match': '*' } : { 'if-match': `"${version}"` }
    const reply = await this.#call('PUT', `/objects/${key}`, { headers: condition, body: JSON.stringify(value) })
    return reply.andThen(({ status: statusCode, version: newVersion }) => {
      if (statusCode === status.preconditionFailed) return Err(new Fault('stale-revision', { detail: `The object ${key} is no longer at version ${version}.` }))
      return Ok(newVersion)
    })
  }

  async watch (key: string, version: number, timeout: number): Promise<Result<StoredObject, Fault>> {
    const reply = await this.#call('GET', `/objects/${key}?after=${version}&wait=${timeout}`, { timeout: timeout + this.#timeout })
    return reply.andThen(each => stored(key, each))
  }

  async nodes (): Promise<Result<Node[], Fault>> {
    const reply = await this.#call('GET', '/nodes')
    return reply.andThen(({ body }) => {
      if (!Array.isArray(body)) return Err(new Fault('store-down', { detail: 'The node list does not match its schema.' }))
      return Ok(this.#validNodes(body))
    })
  }

  /** The nodes of a list that match their schema. One that does not must not cost the others. */
  #validNodes (list: readonly unknown[]): Node[] {
    const results = list.map(each => Node.safeParse(each))
    const [first] = results.flatMap(({ error }) => error?.issues ?? [])
    const count = results.filter(each => !each.success).length
    const reason = first === undefined ? '' : `${count} nodes of the list are invalid; the first: ${first.path.join('.')}: ${first.message}`.slice(0, maxReasonLength)
    if (reason !== this.#invalid && reason !== '') this.#reportInvalid(reason)
    this.#invalid = reason
    return results.flatMap(({ data }) => data ?? [])
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.#dispatcher.destroy()
  }

  async #call (method: Dispatcher.HttpMethod, path: string, options: CallOptions = {}): Promise<Result<Reply, Fault>> {
    try {
      const { statusCode, etag, text } = await withTimeout(this.#clock, options.timeout ?? this.#timeout, signal => this.#request(method, path, signal, options))
      if (statusCode >= status.serverError) return Err(callFault(method, `The object API answered ${statusCode}.`))
      const version = Number(etag.replaceAll('"', ''))
      return Ok({ status: statusCode, version, body: text === '' ? null : JSON.parse(text) })
    } catch (error) {
      const code = (error as { code?: string }).code ?? ''
      if ((error as Error).name === 'TimeoutError') return Err(new Fault(method === 'PUT' ? 'store-unknown' : 'store-silent', { detail: 'The object API did not answer in time.' }))
      const detail = `The object API did not answer (${code || (error as Error).name}).`
      return Err(isConnectFailure(error) ? new Fault('store-down', { detail }) : callFault(method, detail))
    }
  }

  async #request (method: Dispatcher.HttpMethod, path: string, signal: AbortSignal, { headers, body }: CallOptions): Promise<RawReply> {
    const response = await request(this.#url + path, {
      method,
      dispatcher: this.#dispatcher,
      signal,
      headers: { 'content-type': 'application/json', ...headers },
      body
    })
    return { statusCode: response.statusCode, etag: String(response.headers.etag ?? '"0"'), text: await response.body.text() }
  }
}

/**
 * Whether a call failed before its connection was established. The code alone does not tell: TCP reports a lost route
 * with the same codes on an established connection.
 */
function isConnectFailure (error: unknown): boolean {
  const { code = '', syscall = '', errors = [] } = error as { code?: string, syscall?: string, errors?: unknown[] }
  // A host with several addresses fails with the errors of all of them.
  return connectingCalls.has(syscall) || code === connectTimeoutCode || (errors.length > 0 && errors.every(isConnectFailure))
}

function stored (key: string, reply: Reply): Result<StoredObject, Fault> {
  if (reply.status === status.notFound) return Ok({ key, version: 0, value: null })
  if (reply.status !== status.ok) return Err(new Fault('store-down', { detail: `The object API answered ${reply.status} for ${key}.` }))
  return Ok({ key, version: reply.version, value: reply.body })
}

/** The fault of a call that may have reached the store: a write may have been applied. */
function callFault (method: string, detail: string): Fault {
  return new Fault(method === 'PUT' ? 'store-unknown' : 'store-down', { detail })
}
