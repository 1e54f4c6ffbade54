import { Queue } from '@eiderwind/admit'
import { type Clock } from '@eiderwind/clock'
import { type Fault } from '@eiderwind/fault'

/** One request to a fake replica. Sizes are in tokens. */
export interface Prompt {
  readonly team: string
  readonly session: string
  /** The whole prompt, of which a replica that knows the session has a part in its cache. */
  readonly prompt: number
  readonly output: number
}

/** How a fake replica behaves. */
export interface ReplicaOptions {
  readonly clock: Clock
  readonly id: string
  readonly concurrency: number
  readonly queue: number
  /** Tokens of prompts that it reads in one ms, one prompt after the other. */
  readonly reading: number
  /** Time of one token of output with an empty batch, in ms; it doubles towards a full one. */
  readonly tokenTime: number
  /** Tokens of prompts that its cache holds. */
  readonly cache: number
  readonly priorities: ReadonlyMap<string, number>
}

/** What happened to a request at a replica. */
export interface Service {
  /** Tokens of the prompt that were in the cache. */
  readonly reused: number
  /** When the first token came, on the clock. */
  readonly firstAt: number
}

/** How long the caller waits, in ms. */
const patience = 30_000

/**
 * A replica as the choice of one sees it: the real admission queue before an engine that reads prompts one after the
 * other, writes tokens in a batch and caches the prompts of its latest sessions. Only its times are modelled.
 */
export class FakeReplica {
  readonly options: ReplicaOptions
  readonly #queue: Queue
  readonly #cache = new Map<string, number>()
  #cached = 0
  #readingUntil = 0

  constructor (options: ReplicaOptions) {
    this.options = options
    const { clock, concurrency, queue, priorities } = options
    this.#queue = new Queue(clock, { concurrency, queue })
    this.#queue.configure({ concurrency, queue }, priorities)
  }

  get running (): number {
    return this.#queue.running
  }

  get waiting (): number {
    return this.#queue.waiting
  }

  /** Serves a request. Resolves at its first token, or with the refusal. `done` is called when its last token is out. */
  async serve (request: Prompt, done: () => void): Promise<Service | Fault> {
    const { clock, reading, tokenTime, concurrency } = this.options
    const admission = await this.#queue.enter({ team: request.team, deadline: clock.now() + patience })
    if (admission.isErr()) return admission.error
    const reused = Math.min(this.#cache.get(request.session) ?? 0, request.prompt)
    this.#readingUntil = Math.max(clock.now(), this.#readingUntil) + (request.prompt - reused) / reading
    await clock.wait(this.#readingUntil - clock.now())
    this.#remember(request.session, request.prompt + request.output)
    const firstAt = clock.now()
    const each = tokenTime * (1 + this.running / concurrency)
    clock.after(request.output * each, () => {
      admission.value.done()
      done()
    })
    return { reused, firstAt }
  }

  /** Keeps a session's prompt as the newest, and drops the oldest where they are too many. */
  #remember (session: string, tokens: number): void {
    this.#cached += tokens - (this.#cache.get(session) ?? 0)
    this.#cache.delete(session)
    this.#cache.set(session, tokens)
    for (const [oldest, size] of this.#cache) {
      if (this.#cached <= this.options.cache) return
      this.#cache.delete(oldest)
      this.#cached -= size
    }
  }
}
