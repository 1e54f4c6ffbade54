/** Stand-in of a plain service. It owns the list of requests that it has run. Tests count executions with this list. */
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { StandIn, answerJson, bodyText } from './http.js'

/** One request that the service has run. */
export interface Execution {
  readonly method: string
  readonly path: string
  readonly body: string
}

/**
 * A stand-in of a plain service. It answers each request that it runs with a receipt. `?delay=<ms>` delays the answer.
 * `/health` answers 200, and `GET /executions` lists the requests run so far.
 */
export class PlainStandIn extends StandIn {
  readonly executions: Execution[] = []
  readonly #name: string

  constructor (name: string) {
    super()
    this.#name = name
  }

  protected async serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/health') return answerJson(response, 200, {})
    if (request.url === '/executions') return answerJson(response, 200, this.executions)
    const url = new URL(request.url ?? '/', this.url)
    const body = await bodyText(request)
    this.executions.push({ method: request.method ?? '', path: url.pathname, body })
    const receipt = `${this.#name}-${this.executions.length}`
    const delay = Number(url.searchParams.get('delay') ?? 0)
    if (delay > 0) await new Promise(resolve => setTimeout(resolve, delay))
    answerJson(response, 200, { receipt, method: request.method, path: url.pathname, body })
  }
}
