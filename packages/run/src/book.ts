/**
 * The book of runs of one slot at its home. It records for each key whether its request runs, how it ended, and its
 * answer. The book decides whether a request may run. It relies on wall clocks that differ by at most one `skew`.
 * docs/design/runs.md gives the proof.
 *
 * The home of a slot is the worker that holds the lease of the slot. A tenure is a period as its home in which no other
 * worker was its home. The lease may have lapsed meanwhile.
 */
import { Fault } from '@eiderwind/fault'
import { type EncodedAnswer, type BookSnapshot, type RunSnapshot } from '@eiderwind/schema'
import { readKey, type Key } from './key.js'

/** The answer that the first caller received. */
export interface StoredAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
}

/**
 * The state of one key. `ran`: the request ran, and its answer is not available. `unknown`: the request may have run.
 */
export type Run =
  | { readonly state: 'running', readonly request: number }
  | { readonly state: 'answered', readonly request: number, readonly answer: StoredAnswer }
  | { readonly state: 'ran', readonly request: number }
  | { readonly state: 'unknown', readonly request: number }

/** What the home does with a request that carries a key: run it, replay the stored answer, or refuse it. */
export type KeyDecision =
  | { readonly type: 'run' }
  | { readonly type: 'replay', readonly answer: StoredAnswer }
  | { readonly type: 'refuse', readonly fault: Fault }

/** Default for the maximum difference between two wall clocks. */
const defaultSkewMs = 2000

/** Default time for which a key is retained after its minting. */
const defaultRetentionMs = 600_000

/** Default number of keys in a book. It limits the use of memory. */
const defaultMaxKeys = 50_000

/** Default size of all stored answers, in bytes. It limits the use of memory. */
const defaultMaxBytes = 16 * 2 ** 20

/** The limits of a book. All durations are in ms. */
export interface BookOptions {
  /** Maximum difference between the wall clocks of any two callers or workers. Default: 2000. */
  readonly skew?: number
  /** How long a key is retained after its minting. Default: 600,000. */
  readonly retention?: number
  /** Maximum number of keys. Default: 50,000. */
  readonly maxKeys?: number
  /** Maximum size of all stored answers, in bytes. Default: 16 MiB. */
  readonly maxBytes?: number
}

interface RunRecord {
  readonly key: Key
  run: Run
}

/**
 * The runs of the keys of one slot during one tenure of its home.
 *
 * A key may run only if this book would contain any earlier run. The book therefore refuses every key minted up to
 * `openedAt` plus two skews. An earlier home admits keys with times up to one skew ahead of its own clock, and its
 * clock may be another skew ahead of the clock of this home. The book drops a key only when the key is older than
 * `retention`, and refuses older keys.
 */
export class Book {
  /** The number of the tenure. */
  readonly tenure: number
  readonly #skew: number
  readonly #retention: number
  readonly #maxKeys: number
  readonly #maxBytes: number
  readonly #records = new Map<string, RunRecord>()
  #answerBytes = 0
  /** An earlier home may have run any key minted up to this time. */
  #takeoverFloor: number
  /**
   * This book may have dropped any key minted up to this time. It never decreases, even if the wall clock steps back.
   */
  #forgottenUpTo = -Infinity

  /**
   * @param openedAt wall time at which this worker became the home of the slot
   * @param tenure the number of the tenure; the worker never uses it again
   */
  constructor (openedAt: number, tenure: number, options: BookOptions = {}) {
    this.tenure = tenure
    this.#skew = options.skew ?? defaultSkewMs
    this.#retention = options.retention ?? defaultRetentionMs
    this.#maxKeys = options.maxKeys ?? defaultMaxKeys
    this.#maxBytes = options.maxBytes ?? defaultMaxBytes
    this.#takeoverFloor = openedAt + 2 * this.#skew
  }

  /** Returns a book that continues the book of the previous home. It can decide on the same keys as that book. */
  static inherited (book: BookSnapshot, tenure: number, options: BookOptions = {}): Book {
    const inheritor = new Book(-Infinity, tenure, options)
    inheritor.#takeoverFloor = book.floor
    for (const kept of book.runs) inheritor.#restore(kept)
    return inheritor
  }

  /**
   * Returns a copy of the book for the next home. Requests that still run have the state `unknown` there. The newest
   * answers are included, up to `bytes` in total.
   */
  snapshot (wall: number, bytes: number): BookSnapshot {
    let bytesLeft = bytes
    const runs = [...this.#records.values()].reverse().map(({ key, run }): RunSnapshot => {
      if (run.state === 'running') return { key: key.text, request: run.request, state: 'unknown' }
      if (run.state !== 'answered') return { key: key.text, request: run.request, state: run.state }
      bytesLeft -= run.answer.body.length
      return bytesLeft < 0 ? { key: key.text, request: run.request, state: 'ran' } : { key: key.text, request: run.request, state: 'answered', answer: encodeAnswer(run.answer) }
    })
    return { floor: this.floor(wall), runs: runs.reverse() }
  }

  /** The number of keys in the book. */
  get size (): number {
    return this.#records.size
  }

  /** Whether no request runs now. */
  get idle (): boolean {
    for (const { run } of this.#records.values()) if (run.state === 'running') return false
    return true
  }

  /** At wall time `wall`, the book cannot decide on keys minted up to this time, unless it contains them. */
  floor (wall: number): number {
    return Math.max(this.#takeoverFloor, this.#retentionFloor(wall))
  }

  /**
   * Decides on a request. If the request may run, its key is recorded as running.
   *
   * @param request a digest of the request, which detects the use of one key for two requests
   * @param mintedFor the tenure for which the entry has just minted the key. Such a key cannot have run in an earlier
   * tenure, so the floor of the takeover does not apply. If the attempt arrives in another tenure the floor applies,
   * because the key may have run at another home in the meantime.
   */
  begin (key: Key, request: number, wall: number, mintedFor?: number): KeyDecision {
    const existing = this.#records.get(key.text)
    if (existing !== undefined) return existing.run.request === request ? decideRepeated(existing.run) : refuse('key-reused')
    if (key.minted > wall + this.#skew) return this.#refuseEarly(key, wall)
    const floor = mintedFor === this.tenure ? this.#retentionFloor(wall) : this.floor(wall)
    if (key.minted <= floor) return refuse('key-before-home')
    this.#forgetOldKeys(wall)
    if (this.#records.size >= this.#maxKeys) return refuse('busy')
    this.#records.set(key.text, { key, run: { state: 'running', request } })
    return { type: 'run' }
  }

  /** Whether the request of `key` has certainly not run, here or at an earlier home. */
  hasNotRun (key: Key, wall: number): boolean {
    return !this.#records.has(key.text) && key.minted > this.floor(wall)
  }

  /** Records that the request of `key` was not sent to the service. The key may still run. */
  abandon (key: Key): void {
    this.#records.delete(key.text)
  }

  /** Records the answer of the service. It is not stored if all stored answers would exceed `maxBytes` with it. */
  finish (key: Key, answer: StoredAnswer): void {
    const record = this.#records.get(key.text)
    if (record === undefined) return
    const { request } = record.run
    if (this.#answerBytes + answer.body.length > this.#maxBytes) {
      record.run = { state: 'ran', request }
      return
    }
    this.#answerBytes += answer.body.length
    record.run = { state: 'answered', request, answer }
  }

  /** Records that the connection to the service broke after the request was sent. */
  markUnknown (key: Key): void {
    const record = this.#records.get(key.text)
    if (record !== undefined) record.run = { state: 'unknown', request: record.run.request }
  }

  #restore ({ key: text, request, state, answer }: RunSnapshot): void {
    const read = readKey(text)
    if (read.isErr()) return
    if (state !== 'answered' || answer === undefined) {
      this.#records.set(text, { key: read.value, run: { state: state === 'unknown' ? 'unknown' : 'ran', request } })
      return
    }
    const body = Buffer.from(answer.body, 'base64')
    this.#answerBytes += body.length
    this.#records.set(text, { key: read.value, run: { state: 'answered', request, answer: { ...answer, body } } })
  }

  /**
   * Refuses a key with a time of minting in the future. The clock of an earlier home may have been one skew ahead, so
   * it may have run a key that is up to two skews ahead of this clock.
   */
  #refuseEarly (key: Key, wall: number): KeyDecision {
    const outcome = key.minted > wall + 2 * this.#skew ? 'not-run' : 'unknown'
    return { type: 'refuse', fault: new Fault('key-in-future', { outcome }) }
  }

  /** Advances and returns the time of minting up to which keys are dropped. */
  #retentionFloor (wall: number): number {
    this.#forgottenUpTo = Math.max(this.#forgottenUpTo, wall - this.#retention)
    return this.#forgottenUpTo
  }

  /**
   * Drops old keys that no longer run. A key that was minted before the takeover floor is retained as long as any other
   * key: the entry that minted it may send it again, with the tenure for which it was minted.
   */
  #forgetOldKeys (wall: number): void {
    const oldest = this.#retentionFloor(wall)
    for (const [text, { key, run }] of this.#records) {
      if (key.minted > oldest) break
      if (run.state === 'running') continue
      if (run.state === 'answered') this.#answerBytes -= run.answer.body.length
      this.#records.delete(text)
    }
  }
}

function encodeAnswer ({ status, headers, body }: StoredAnswer): EncodedAnswer {
  return { status, headers: { ...headers }, body: body.toString('base64') }
}

function decideRepeated (run: Run): KeyDecision {
  switch (run.state) {
    case 'running': return refuse('still-running')
    case 'answered': return { type: 'replay', answer: run.answer }
    case 'ran': return refuse('answer-too-large')
    case 'unknown': return refuse('lost')
  }
}

function refuse (code: 'key-reused' | 'key-before-home' | 'busy' | 'still-running' | 'answer-too-large' | 'lost'): KeyDecision {
  return { type: 'refuse', fault: new Fault(code) }
}
