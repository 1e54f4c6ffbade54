/**
 * Stand-in of a model engine. It serves completions and streams, accepts fenced orders, and exports and imports KV
 * caches. It owns the loaded version, the sessions' caches and a record of events. An answer depends only on the
 * prompt, so that tests can check it.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { digest } from '@eiderwind/hash'
import { StandIn, answerJson, bodyText } from './http.js'

/** Behaviour of an engine stand-in. Durations are in ms. */
export interface EngineOptions {
  /** Time between two tokens. Default: 20. */
  readonly tokenTime?: number
  /** Time before the first token. Default: 5. */
  readonly firstTime?: number
  /** Time to load a version. Default: 50. */
  readonly loadTime?: number
  /** Whether it refuses an order whose generation is lower than one it has accepted. Default: true. */
  readonly checks?: boolean
  /** Whether it exports KV caches of sessions. Default: true. */
  readonly exports?: boolean
  /** Number of tokens in an answer to a request without `max_tokens`. Default: 24. */
  readonly tokens?: number
}

/** Path prefix at which KV caches are exported (GET) and imported (PUT). The session's key follows. */
const kvPath = '/kv/'

/** Counts of events at an engine, and the orders that it has received. */
export interface EngineRecord {
  started: number
  finished: number
  cancelled: number
  /** Requests whose session already had a KV cache here. */
  reused: number
  exported: number
  imported: number
  orders: { version: string, generation: number, accepted: boolean }[]
}

interface Completion {
  readonly model: string
  readonly messages: readonly { readonly content: string }[]
  readonly stream?: boolean
  readonly max_tokens?: number
  readonly resume?: { readonly offset: number, readonly text: string }
}

interface Order {
  readonly version: string
  readonly adapters: string[]
  readonly generation: number
}

/**
 * A stand-in of a model engine. It answers a prompt with the same words each time, so that a test can check whether an
 * answer resumed at another engine is complete. It cancels a request when the caller disconnects, resumes an answer
 * after a given text, and accepts fenced orders at `/orders/load`. `GET /record` returns its record.
 */
export class EngineStandIn extends StandIn {
  readonly record: EngineRecord = { started: 0, finished: 0, cancelled: 0, reused: 0, exported: 0, imported: 0, orders: [] }
  readonly #options: Required<EngineOptions>
  #loaded: Order = { version: '', adapters: [], generation: 0 }
  readonly #sessions = new Map<string, string>()
  #highestGeneration = 0

  constructor (options: EngineOptions = {}) {
    super()
    this.#options = { tokenTime: 20, firstTime: 5, loadTime: 50, checks: true, exports: true, tokens: 24, ...options }
  }

  protected async serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/health') return answerJson(response, 200, this.#loaded)
    if (request.url === '/record') return answerJson(response, 200, this.record)
    if (request.url?.startsWith(kvPath) === true) return await this.#transferCache(request, response)
    const session = request.headers['eiderwind-session-key']
    if (typeof session === 'string') this.#useSession(session)
    const body = JSON.parse(await bodyText(request)) as unknown
    if (request.url === '/orders/load') return await this.#load(body as Order, response)
    await this.#complete(body as Completion, response)
  }

  /** Exports or imports the text that represents a session's KV cache. */
  async #transferCache (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const session = (request.url ?? '').slice(kvPath.length)
    if (request.method === 'PUT') {
      this.#sessions.set(session, await bodyText(request))
      this.record.imported++
      return answerJson(response, 200, null)
    }
    const cache = this.#sessions.get(session)
    if (cache === undefined || !this.#options.exports) return answerJson(response, 404, null)
    this.record.exported++
    response.end(cache)
  }

  #useSession (session: string): void {
    if (this.#sessions.has(session)) this.record.reused++
    this.#sessions.set(session, `cache of ${session}`)
  }

  async #load (order: Order, response: ServerResponse): Promise<void> {
    const accepted = !this.#options.checks || order.generation >= this.#highestGeneration
    this.record.orders.push({ version: order.version, generation: order.generation, accepted })
    if (!accepted) return answerJson(response, 409, { error: 'an order with a higher generation was accepted earlier' })
    this.#highestGeneration = Math.max(this.#highestGeneration, order.generation)
    await pause(this.#options.loadTime)
    if (!this.#options.checks || order.generation >= this.#highestGeneration) this.#loaded = order
    answerJson(response, 200, this.#loaded)
  }

  async #complete (completion: Completion, response: ServerResponse): Promise<void> {
    this.record.started++
    const words = answerWords(completion.messages.map(each => each.content).join('\n'), completion.max_tokens ?? this.#options.tokens)
    const start = completion.resume?.offset ?? 0
    if (words.slice(0, start).join('') !== (completion.resume?.text ?? '')) {
      return answerJson(response, 400, { error: 'the text to resume from is not the start of the answer' })
    }
    response.once('close', () => {
      if (response.writableFinished) this.record.finished++
      else this.record.cancelled++
    })
    await pause(this.#options.firstTime)
    if (completion.stream === true) await this.#answerStreamed(completion.model, words.slice(start), response)
    else await this.#answerUnstreamed(completion.model, words, response)
  }

  async #answerStreamed (model: string, words: readonly string[], response: ServerResponse): Promise<void> {
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
    for (const word of words) {
      if (response.destroyed) return
      response.write(streamEvent(model, { content: word }, null))
      await pause(this.#options.tokenTime)
    }
    response.write(streamEvent(model, {}, 'stop'))
    response.end('data: [DONE]\n\n')
  }

  async #answerUnstreamed (model: string, words: readonly string[], response: ServerResponse): Promise<void> {
    for (let index = 0; index < words.length && !response.destroyed; index++) await pause(this.#options.tokenTime)
    const choice = { index: 0, message: { role: 'assistant', content: words.join('') }, finish_reason: 'stop' }
    answerJson(response, 200, { id: 'cmpl', object: 'chat.completion', model, choices: [choice], usage: { completion_tokens: words.length } })
  }
}

/** The words of every engine stand-in's answer to a prompt. */
export function answerWords (prompt: string, count: number): string[] {
  const seed = digest(prompt).toString(36)
  return Array.from({ length: count }, (_each, index) => `${seed}-${index + 1} `)
}

/** A server-sent event with one chunk of a streamed completion. */
function streamEvent (model: string, delta: object, finish: string | null): string {
  const choice = { index: 0, delta, finish_reason: finish }
  return `data: ${JSON.stringify({ id: 'cmpl', object: 'chat.completion.chunk', model, choices: [choice] })}\n\n`
}

function pause (span: number): Promise<void> {
  if (span === 0) return Promise.resolve()
  return new Promise(resolve => setTimeout(resolve, span))
}
