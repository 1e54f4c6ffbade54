/**
 * A load of requests that may run only once, each with its own key. `KeyedLoad` owns the callers and a record of each
 * request. The service's stand-ins count the executions.
 */
import { mintKey, readKey } from '@eiderwind/run'
import { plainName, trialKey, type Execution, type Fleet } from '../src/index.js'

/** Pause of a caller between a refusal and its next try with the same key, in ms. */
const retryPauseMs = 50

/** How long a caller retries with the same key, in ms. */
const maxRetryMs = 20_000

/** A refusal of one try. */
export interface Refusal {
  /** On `Date.now`. */
  readonly at: number
  readonly status: number
  readonly code: string
  readonly retryAfter: string | null
}

/** One request and how it ended. `unknown`: the home cannot find out whether it ran. */
export interface KeyedRequest {
  readonly body: string
  readonly slot: number
  readonly refusals: Refusal[]
  ending: 'answered' | 'unknown' | 'not answered'
}

/** Callers that send one request after the other, through all entries in turn, from construction to `stop`. */
export class KeyedLoad {
  readonly requests: KeyedRequest[] = []
  readonly #fleet: Fleet
  readonly #callers: Promise<void>[]
  #isDone = false

  constructor (fleet: Fleet, callerCount = 8) {
    this.#fleet = fleet
    this.#callers = Array.from({ length: callerCount }, () => this.#run())
  }

  /** Sends no new requests, and resolves when every request has ended. */
  async stop (): Promise<void> {
    this.#isDone = true
    await Promise.all(this.#callers)
  }

  /** The number of executions of each request that ran, by its body. */
  async executions (): Promise<Map<string, number>> {
    const lists = await Promise.all(this.#fleet.workers.map(async ({ upstreamUrl }) => await (await fetch(`${upstreamUrl}/executions`)).json() as Execution[]))
    const counts = new Map<string, number>()
    for (const { body } of lists.flat()) counts.set(body, (counts.get(body) ?? 0) + 1)
    return counts
  }

  async #run (): Promise<void> {
    while (!this.#isDone) {
      const key = mintKey(Date.now())
      const request: KeyedRequest = { body: `request ${this.requests.length}`, slot: readKey(key).unwrap().slot, refusals: [], ending: 'not answered' }
      this.requests.push(request)
      await this.#send(request, key)
    }
  }

  async #send (request: KeyedRequest, key: string): Promise<void> {
    const deadline = Date.now() + maxRetryMs
    while (Date.now() < deadline) {
      const entry = this.#fleet.entries[request.refusals.length % this.#fleet.entries.length]
      const response = await fetch(`http://${entry.callers}/services/${plainName}/topups`, {
        method: 'POST',
        headers: { authorization: `Bearer ${trialKey}`, 'idempotency-key': key },
        body: request.body
      })
      const text = await response.text()
      if (response.status === 200) {
        request.ending = 'answered'
        return
      }
      const code = /"code":"([^"]*)"/.exec(text)?.[1] ?? text
      request.refusals.push({ at: Date.now(), status: response.status, code, retryAfter: response.headers.get('retry-after') })
      if (code === 'key-before-home') {
        request.ending = 'unknown'
        return
      }
      await new Promise(resolve => setTimeout(resolve, retryPauseMs))
    }
  }
}
