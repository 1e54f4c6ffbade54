import { answerWords, modelName, plainName, trialKey, type Fleet } from '../src/index.js'

/** How one request of a load ended. */
export interface Sample {
  readonly kind: 'stream' | 'plain'
  /** `whole`, or what was wrong. */
  readonly result: string
  /** Times that another entry had to be tried because one refused or was not there. */
  readonly moves: number
  /** Time from the request to the end of its answer, in ms. */
  readonly span: number
}

/** What a load consists of. */
export interface LoadOptions {
  /** Streams kept open at once. Default: 8. */
  readonly streams?: number
  /** Requests to the plain service kept under way at once. Default: 4. */
  readonly plain?: number
  /** Tokens of a stream. Default: 40. */
  readonly tokens?: number
}

/**
 * Callers behind a balancer that asks each entry for its health: each keeps one request under way, and checks that the answer
 * is the whole one to its own request. A refusal that says "not run" is tried at the next entry, as callers do.
 */
export class Load {
  readonly samples: Sample[] = []
  readonly #fleet: Fleet
  readonly #tokens: number
  readonly #callers: Promise<void>[] = []
  readonly #checks: Promise<void>
  readonly #healthy = new Set<string>()
  #running = true
  #made = 0

  constructor (fleet: Fleet, options: LoadOptions = {}) {
    this.#fleet = fleet
    this.#tokens = options.tokens ?? 40
    this.#checks = this.#check()
    for (let index = 0; index < (options.streams ?? 8); index++) this.#callers.push(this.#call(() => this.#stream()))
    for (let index = 0; index < (options.plain ?? 4); index++) this.#callers.push(this.#call(() => this.#plain()))
  }

  /** Lets every request under way end, and gives all samples. */
  async stop (): Promise<readonly Sample[]> {
    this.#running = false
    await Promise.all([...this.#callers, this.#checks])
    return this.samples
  }

  /** Resolves when so many more requests have ended. */
  async more (count: number): Promise<void> {
    const wanted = this.samples.length + count
    while (this.samples.length < wanted) await new Promise(resolve => setTimeout(resolve, 20))
  }

  /** Asks each entry whether it takes requests, as a balancer does. */
  async #check (): Promise<void> {
    while (this.#running) {
      for (const { callers } of this.#fleet.entries) {
        // An entry that does not answer is not healthy; tests stop entries on purpose.
        const response = await fetch(`http://${callers}/healthz`).catch(() => undefined)
        if (response?.status === 200) this.#healthy.add(callers)
        else this.#healthy.delete(callers)
      }
      await new Promise(resolve => setTimeout(resolve, 100))
    }
  }

  async #call (request: () => Promise<Sample>): Promise<void> {
    while (this.#running) this.samples.push(await request())
  }

  async #stream (): Promise<Sample> {
    const content = `question ${++this.#made}`
    const body = JSON.stringify({ model: modelName, stream: true, max_tokens: this.#tokens, messages: [{ role: 'user', content }] })
    return await this.#send('stream', '/v1/chat/completions', body, text => {
      const words = [...text.matchAll(/"content":"([^"]*)"/g)].map(each => each[1])
      const right = words.join('') === answerWords(content, this.#tokens).join('')
      if (!text.endsWith('data: [DONE]\n\n')) return `cut off after ${words.length} tokens: ${text.slice(-200)}`
      return right ? 'whole' : `another answer: ${words.slice(0, 3).join('')}`
    })
  }

  async #plain (): Promise<Sample> {
    const body = `card ${++this.#made}`
    return await this.#send('plain', `/services/${plainName}/cards?delay=30`, body, text => {
      return text.includes(`"body":"${body}"`) ? 'whole' : `another answer: ${text}`
    })
  }

  async #send (kind: Sample['kind'], path: string, body: string, judge: (text: string) => string): Promise<Sample> {
    const startedAt = performance.now()
    let moves = 0
    let result = 'no entry'
    for (; moves < 50; moves++) {
      const healthy = this.#fleet.entries.filter(each => this.#healthy.has(each.callers))
      const entry = healthy[(this.#made + moves) % healthy.length]
      const answer = entry === undefined ? 'again: no entry' : await tryOnce(`http://${entry.callers}${path}`, body, judge)
      result = answer
      if (!answer.startsWith('again')) break
      await new Promise(resolve => setTimeout(resolve, 50))
    }
    return { kind, result, moves, span: performance.now() - startedAt }
  }
}

/** One try: the judgement of the answer, or `again` where the request was certainly not run. */
async function tryOnce (url: string, body: string, judge: (text: string) => string): Promise<string> {
  let response: Response
  try {
    response = await fetch(url, { method: 'POST', headers: { authorization: `Bearer ${trialKey}` }, body })
  } catch (error) {
    const { code } = (error as { cause?: { code?: string } }).cause ?? {}
    return code === 'ECONNREFUSED' ? 'again: not there' : `connection lost: ${String(code)}`
  }
  try {
    const text = await response.text()
    if (response.status === 200) return judge(text)
    return response.headers.get('eiderwind-outcome') === 'not-run' ? `again: ${text}` : `status ${response.status}: ${text}`
  } catch (error) {
    return `connection lost in the answer: ${String(error)}`
  }
}
