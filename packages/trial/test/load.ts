/** A load of callers for tests with real daemons. It owns the callers and a sample of each request that has ended. */
import { answerWords, modelName, plainName, trialKey, type Fleet } from '../src/index.js'

/** The result of one request of a load. */
export interface Sample {
  readonly kind: 'stream' | 'plain'
  /** `complete`, or a description of the fault. */
  readonly result: string
  /** Number of retries at another entry, after one refused the request, refused the connection or was unhealthy. */
  readonly retries: number
  /** Time from the request to the end of its answer, in ms. */
  readonly duration: number
}

/** Size of a load. */
export interface LoadOptions {
  /** Number of concurrent streams. Default: 8. */
  readonly streams?: number
  /** Number of concurrent requests to the plain service. Default: 4. */
  readonly plain?: number
  /** Number of tokens of a stream. Default: 40. */
  readonly tokens?: number
}

/**
 * Callers behind a load balancer that checks the health of each entry. Each caller sends one request at a time, and
 * checks that the answer is complete and belongs to its request. It retries a refusal with the outcome "not-run" at the
 * next entry.
 */
export class Load {
  readonly samples: Sample[] = []
  readonly #fleet: Fleet
  readonly #tokens: number
  readonly #callers: Promise<void>[] = []
  readonly #healthChecks: Promise<void>
  readonly #healthy = new Set<string>()
  #running = true
  #requestCount = 0

  constructor (fleet: Fleet, options: LoadOptions = {}) {
    this.#fleet = fleet
    this.#tokens = options.tokens ?? 40
    this.#healthChecks = this.#checkHealth()
    for (let index = 0; index < (options.streams ?? 8); index++) this.#callers.push(this.#runCaller(() => this.#sendStream()))
    for (let index = 0; index < (options.plain ?? 4); index++) this.#callers.push(this.#runCaller(() => this.#sendPlain()))
  }

  /** Waits for the requests in flight to end, and returns all samples. */
  async stop (): Promise<readonly Sample[]> {
    this.#running = false
    await Promise.all([...this.#callers, this.#healthChecks])
    return this.samples
  }

  /** Resolves when `count` more requests have ended. */
  async waitForMore (count: number): Promise<void> {
    const minSamples = this.samples.length + count
    while (this.samples.length < minSamples) await new Promise(resolve => setTimeout(resolve, 20))
  }

  /** Checks the health of each entry every 100 ms, as a load balancer does. */
  async #checkHealth (): Promise<void> {
    while (this.#running) {
      for (const { callers } of this.#fleet.entries) {
        // An entry that does not answer is unhealthy. Tests stop entries on purpose.
        const response = await fetch(`http://${callers}/healthz`).catch(() => undefined)
        if (response?.status === 200) this.#healthy.add(callers)
        else this.#healthy.delete(callers)
      }
      await new Promise(resolve => setTimeout(resolve, 100))
    }
  }

  async #runCaller (request: () => Promise<Sample>): Promise<void> {
    while (this.#running) this.samples.push(await request())
  }

  async #sendStream (): Promise<Sample> {
    const content = `question ${++this.#requestCount}`
    const body = JSON.stringify({ model: modelName, stream: true, max_tokens: this.#tokens, messages: [{ role: 'user', content }] })
    return await this.#send('stream', '/v1/chat/completions', body, text => {
      const words = [...text.matchAll(/"content":"([^"]*)"/g)].map(each => each[1])
      const right = words.join('') === answerWords(content, this.#tokens).join('')
      if (!text.endsWith('data: [DONE]\n\n')) return `cut off after ${words.length} tokens: ${text.slice(-200)}`
      return right ? 'complete' : `another answer: ${words.slice(0, 3).join('')}`
    })
  }

  async #sendPlain (): Promise<Sample> {
    const body = `card ${++this.#requestCount}`
    return await this.#send('plain', `/services/${plainName}/cards?delay=30`, body, text => {
      return text.includes(`"body":"${body}"`) ? 'complete' : `another answer: ${text}`
    })
  }

  async #send (kind: Sample['kind'], path: string, body: string, check: (text: string) => string): Promise<Sample> {
    const startedAt = performance.now()
    let retries = 0
    let result = 'no healthy entry'
    for (; retries < 50; retries++) {
      const healthy = this.#fleet.entries.filter(each => this.#healthy.has(each.callers))
      const entry = healthy[(this.#requestCount + retries) % healthy.length]
      const answer = entry === undefined ? 'again: no healthy entry' : await tryOnce(`http://${entry.callers}${path}`, body, check)
      result = answer
      if (!answer.startsWith('again')) break
      await new Promise(resolve => setTimeout(resolve, 50))
    }
    return { kind, result, retries, duration: performance.now() - startedAt }
  }
}

/**
 * Sends a request once. Returns the result of `check`, a fault, or a text that begins with `again` if the request
 * certainly did not run.
 */
async function tryOnce (url: string, body: string, check: (text: string) => string): Promise<string> {
  let response: Response
  try {
    response = await fetch(url, { method: 'POST', headers: { authorization: `Bearer ${trialKey}` }, body })
  } catch (error) {
    const { code } = (error as { cause?: { code?: string } }).cause ?? {}
    return code === 'ECONNREFUSED' ? 'again: connection refused' : `connection lost: ${String(code)}`
  }
  try {
    const text = await response.text()
    if (response.status === 200) return check(text)
    return response.headers.get('eiderwind-outcome') === 'not-run' ? `again: ${text}` : `status ${response.status}: ${text}`
  } catch (error) {
    return `connection lost in the answer: ${String(error)}`
  }
}
