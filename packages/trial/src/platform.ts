/**
 * Stand-in of the platform's object API and node list, as docs/operators/platform.md describes them. It owns the
 * objects and the node list. Tests can make it fail.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { type Node } from '@eiderwind/schema'
import { MemoryStore } from '@eiderwind/store'
import { StandIn, answerJson, bodyText } from './http.js'

/** A fault that the platform stand-in simulates. */
export interface PlatformFault {
  /** Whether every call is answered with 503. */
  readonly down?: boolean
  /** Delay before each call is handled, in ms. */
  readonly delay?: number
  /** Number of coming writes that take effect, but whose connection is closed without an answer. */
  readonly loseAnswers?: number
}

/** Number of calls received, by kind. */
export interface PlatformCalls {
  reads: number
  writes: number
  watches: number
}

/**
 * A stand-in of the platform's object API and node list, with versions, conditional updates and watches. Objects are at
 * `/objects/<key>`, the node list is at `/nodes`. `/control/nodes` sets the node list, and `/control/fault` sets a
 * fault. Each control call is answered with the call counts.
 */
export class PlatformStandIn extends StandIn {
  readonly store = new MemoryStore()
  readonly calls: PlatformCalls = { reads: 0, writes: 0, watches: 0 }
  #fault: PlatformFault = {}
  #answersToLose = 0

  /** Replaces the current fault. */
  setFault (fault: PlatformFault): void {
    this.#fault = fault
    this.#answersToLose = fault.loseAnswers ?? 0
  }

  protected async serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', this.url)
    if (url.pathname.startsWith('/control/')) return await this.#control(url, request, response)
    if (this.#fault.delay !== undefined) await new Promise(resolve => setTimeout(resolve, this.#fault.delay))
    if (this.#fault.down === true) return answerJson(response, 503, { error: 'down' })
    if (url.pathname === '/nodes') return await this.#nodes(response)
    if (url.pathname === '/objects') return await this.#list(url, response)
    const key = url.pathname.slice('/objects/'.length)
    if (request.method === 'PUT') return await this.#write(key, request, response)
    await this.#read(key, url, response)
  }

  async #control (url: URL, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const text = await bodyText(request)
    if (url.pathname === '/control/nodes' && request.method === 'PUT') this.store.setNodes(JSON.parse(text) as Node[])
    if (url.pathname === '/control/fault') this.setFault(JSON.parse(text) as PlatformFault)
    answerJson(response, 200, this.calls)
  }

  async #nodes (response: ServerResponse): Promise<void> {
    this.calls.reads++
    answerJson(response, 200, (await this.store.nodes()).unwrap())
  }

  async #list (url: URL, response: ServerResponse): Promise<void> {
    this.calls.reads++
    answerJson(response, 200, (await this.store.list(url.searchParams.get('prefix') ?? '')).unwrap())
  }

  async #read (key: string, url: URL, response: ServerResponse): Promise<void> {
    const after = url.searchParams.get('after')
    if (after === null) this.calls.reads++
    else this.calls.watches++
    const stored = after === null
      ? await this.store.read(key)
      : await this.store.watch(key, Number(after), Number(url.searchParams.get('wait') ?? 0))
    const { version, value } = stored.unwrap()
    if (this.#fault.down === true) return answerJson(response, 503, { error: 'down' })
    if (version === 0) answerJson(response, 404, null)
    else answerJson(response, 200, value, { etag: `"${version}"` })
  }

  async #write (key: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.calls.writes++
    const value = JSON.parse(await bodyText(request)) as unknown
    const match = request.headers['if-match']
    const version = match === undefined ? 0 : Number(match.replaceAll('"', ''))
    const written = await this.store.write(key, value, version)
    if (this.#answersToLose > 0) {
      this.#answersToLose--
      response.destroy()
      return
    }
    if (written.isErr()) answerJson(response, 412, { error: 'version' })
    else answerJson(response, 200, null, { etag: `"${written.value}"` })
  }
}
