/**
 * The record of the keys of one slot at its home: whether a request may run, what became of it, and its answer. It owns that
 * record and relies on wall clocks that differ by one `skew` at the most. docs/design/runs.md has the proof in words.
 */
import { Fault } from '@eiderwind/fault'
import { type KeptAnswer, type KeptBook, type KeptRun } from '@eiderwind/schema'
import { readKey, type Key } from './key.js'

/** An answer as it was given to the first caller. */
export interface StoredAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
}

/** What is known of one key. */
export type Run =
  | { readonly state: 'running', readonly request: number }
  | { readonly state: 'answered', readonly request: number, readonly answer: StoredAnswer }
  | { readonly state: 'ran', readonly request: number }
  | { readonly state: 'unknown', readonly request: number }

/** What the home does with a request that carries a key. */
export type Verdict =
  | { readonly type: 'run' }
  | { readonly type: 'replay', readonly answer: StoredAnswer }
  | { readonly type: 'refuse', readonly fault: Fault }

/** How far two wall clocks may differ, unless set, in ms. */
const defaultSkew = 2000

/** How long a key is remembered after its minting, unless set, in ms. */
const defaultKeep = 600_000

/** Most keys that are remembered at once, unless set: a bound of memory. */
const defaultLimit = 50_000

/** Most bytes of answers that are kept, unless set: a bound of memory. */
const defaultBytes = 16 * 2 ** 20

/** The bounds of a book. All spans are in ms. */
export interface BookOptions {
  /** How far two wall clocks may differ, callers' and workers'. Default: 2000. */
  readonly skew?: number
  /** How long a key is remembered after its minting. Default: 600,000. */
  readonly keep?: number
  /** Most keys that are remembered at once. Default: 50,000. */
  readonly limit?: number
  /** Most bytes of answers that are kept. Default: 16 MiB. */
  readonly bytes?: number
}

interface Entry {
  readonly key: Key
  run: Run
}

/**
 * What one home knows of the keys of one slot, for as long as it is the home without a break.
 *
 * A key may run only if this book would know of an earlier run. So it refuses every key minted before `openedAt`
 * plus twice the skew: an earlier home admits keys stamped up to one skew ahead of its own clock, and its clock may
 * be another skew ahead of this one. It forgets a key only when the key is older than `keep`, and refuses older keys.
 */
export class Book {
  /** One stretch of being the home, as the home counts them. */
  readonly tenure: number
  readonly #skew: number
  readonly #keep: number
  readonly #limit: number
  readonly #bytes: number
  readonly #entries = new Map<string, Entry>()
  #held = 0
  /** The time of minting up to which an earlier home may have run a key. */
  #opened: number
  /** The time of minting up to which this book may have forgotten a key. It only rises, also when the wall clock steps back. */
  #forgotten = -Infinity

  /**
   * @param openedAt wall time at which the slot was taken over
   * @param tenure a number that the worker uses for this stretch only
   */
  constructor (openedAt: number, tenure: number, options: BookOptions = {}) {
    this.tenure = tenure
    this.#skew = options.skew ?? defaultSkew
    this.#keep = options.keep ?? defaultKeep
    this.#limit = options.limit ?? defaultLimit
    this.#bytes = options.bytes ?? defaultBytes
    this.#opened = openedAt + 2 * this.#skew
  }

  /** A book that goes on where a home that gave its slot up left off: what that home could judge, this one can. */
  static inherited (book: KeptBook, tenure: number, options: BookOptions = {}): Book {
    const made = new Book(-Infinity, tenure, options)
    made.#opened = book.floor
    for (const kept of book.runs) made.#enter(kept)
    return made
  }

  /** What the next home has to know. What still runs counts as unknown there. Answers beyond `bytes` are left out. */
  kept (wall: number, bytes: number): KeptBook {
    let left = bytes
    const runs = [...this.#entries.values()].reverse().map(({ key, run }): KeptRun => {
      if (run.state === 'running') return { key: key.text, request: run.request, state: 'unknown' }
      if (run.state !== 'answered') return { key: key.text, request: run.request, state: run.state }
      left -= run.answer.body.length
      return left < 0 ? { key: key.text, request: run.request, state: 'ran' } : { key: key.text, request: run.request, state: 'answered', answer: keptAnswer(run.answer) }
    })
    return { floor: this.floor(wall), runs: runs.reverse() }
  }

  /** Keys remembered now. */
  get size (): number {
    return this.#entries.size
  }

  /** Whether no key runs now. */
  get idle (): boolean {
    for (const { run } of this.#entries.values()) if (run.state === 'running') return false
    return true
  }

  /** The time of minting up to which this book cannot judge, at wall time `wall`. */
  floor (wall: number): number {
    return Math.max(this.#opened, this.#oldest(wall))
  }

  /**
   * Decides on a request and, where it may run, notes it as running.
   *
   * @param request a digest of the request, so that a key used for two requests is found out
   * @param fresh the tenure for which the entry has just minted the key itself, so that it cannot have run before. An
   * attempt that comes late, in another tenure, gets no credit for it: its key may have run elsewhere meanwhile.
   */
  begin (key: Key, request: number, wall: number, fresh?: number): Verdict {
    const known = this.#entries.get(key.text)
    if (known !== undefined) return known.run.request === request ? judge(known.run) : refuse('key-reused')
    if (key.minted > wall + this.#skew) return this.#early(key, wall)
    const floor = fresh === this.tenure ? this.#oldest(wall) : this.floor(wall)
    if (key.minted <= floor) return refuse('key-before-home')
    this.#forget(wall)
    if (this.#entries.size >= this.#limit) return refuse('busy')
    this.#entries.set(key.text, { key, run: { state: 'running', request } })
    return { type: 'run' }
  }

  /** Whether this book can tell that the request of `key` has not run, here or at an earlier home. */
  unrun (key: Key, wall: number): boolean {
    return !this.#entries.has(key.text) && key.minted > this.floor(wall)
  }

  /** Notes that the request of `key` was never handed to the service, so that it may still run. */
  abandon (key: Key): void {
    this.#entries.delete(key.text)
  }

  /** Notes the answer of the service. */
  finish (key: Key, answer: StoredAnswer): void {
    const entry = this.#entries.get(key.text)
    if (entry === undefined) return
    const { request } = entry.run
    if (this.#held + answer.body.length > this.#bytes) {
      entry.run = { state: 'ran', request }
      return
    }
    this.#held += answer.body.length
    entry.run = { state: 'answered', request, answer }
  }

  /** Notes that the connection to the service broke after the request was handed over. */
  lose (key: Key): void {
    const entry = this.#entries.get(key.text)
    if (entry !== undefined) entry.run = { state: 'unknown', request: entry.run.request }
  }

  #enter ({ key: text, request, state, answer }: KeptRun): void {
    const read = readKey(text)
    if (read.isErr()) return
    if (state !== 'answered' || answer === undefined) {
      this.#entries.set(text, { key: read.value, run: { state: state === 'unknown' ? 'unknown' : 'ran', request } })
      return
    }
    const body = Buffer.from(answer.body, 'base64')
    this.#held += body.length
    this.#entries.set(text, { key: read.value, run: { state: 'answered', request, answer: { ...answer, body } } })
  }

  /** Refuses a key from the future. An earlier home, whose clock was ahead by a skew, may have taken one that is less than two ahead. */
  #early (key: Key, wall: number): Verdict {
    const outcome = key.minted > wall + 2 * this.#skew ? 'not-run' : 'unknown'
    return { type: 'refuse', fault: new Fault('key-in-future', { outcome }) }
  }

  #oldest (wall: number): number {
    this.#forgotten = Math.max(this.#forgotten, wall - this.#keep)
    return this.#forgotten
  }

  /** Forgets keys that are old. One that is only older than this home is kept: the entry that minted it may send it again with its word. */
  #forget (wall: number): void {
    const oldest = this.#oldest(wall)
    for (const [text, { key, run }] of this.#entries) {
      if (key.minted > oldest) break
      if (run.state === 'running') continue
      if (run.state === 'answered') this.#held -= run.answer.body.length
      this.#entries.delete(text)
    }
  }
}

function keptAnswer ({ status, headers, body }: StoredAnswer): KeptAnswer {
  return { status, headers: { ...headers }, body: body.toString('base64') }
}

function judge (run: Run): Verdict {
  switch (run.state) {
    case 'running': return refuse('still-running')
    case 'answered': return { type: 'replay', answer: run.answer }
    case 'ran': return refuse('answer-too-large')
    case 'unknown': return refuse('lost')
  }
}

function refuse (code: 'key-reused' | 'key-before-home' | 'busy' | 'still-running' | 'answer-too-large' | 'lost'): Verdict {
  return { type: 'refuse', fault: new Fault(code) }
}
