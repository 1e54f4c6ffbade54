/**
 * The blocks: sets of names, each of which a request must have to be refused. One name is enough where it is known to
 * be the cause of crashes. Where several names were in the same crashes, all of them are blocked together, so a request
 * that has only the innocent ones is still served. Owns the blocks and their expiry; `decision.ts` decides on them.
 */
import { createHash } from 'node:crypto'
import { type Clock } from '@eiderwind/clock'
import { isTeamName, type RequestIdentity } from './identity.js'

/** A set of names. No request that has all of them is sent to any upstream. */
export interface Block {
  /** Fingerprints of requests, names of parts, and at most one name of a team, sorted. */
  readonly names: readonly string[]
  /** Time since the crash that led to it, in ms. */
  readonly age: number
  /** Time from that crash until such a request may run once more as a suspect, in ms. */
  readonly duration: number
}

/** A block in force. */
interface BlockRecord {
  readonly names: readonly string[]
  /** The crash that led to it, on `Clock.now`. */
  readonly since: number
  readonly duration: number
}

/** Maximum number of blocks. The oldest is dropped first. */
const maxBlocks = 500

/** Length of the id of a block, in hexadecimal digits. */
const idDigits = 16

/**
 * The id of a block, under which it is stored and reported. That of a request's fingerprint alone is the fingerprint,
 * as in builds that block nothing else.
 */
export function blockId (names: readonly string[]): string {
  if (names.length === 1 && isFingerprint(names[0])) return names[0]
  return createHash('sha256').update(JSON.stringify(names)).digest('hex').slice(0, idDigits)
}

function isFingerprint (name: string): boolean {
  return /^[0-9a-f]+$/.test(name)
}

/** The blocks. */
export class Blocked {
  readonly #clock: Clock
  /** By id, the oldest first. Expired blocks stay, since their names are still suspected. */
  readonly #blocks = new Map<string, BlockRecord>()
  /** The names in all blocks. */
  #names: ReadonlySet<string> = new Set()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get isEmpty (): boolean {
    return this.#blocks.size === 0
  }

  /** The blocks that have not expired. */
  get active (): Block[] {
    const now = this.#clock.now()
    return [...this.#blocks.values()].filter(each => this.#remaining(each) > 0).map(({ names, since, duration }) => ({ names, age: now - since, duration }))
  }

  /** Time for which a request stays blocked, in ms; 0 if it is not blocked. */
  remaining (request: RequestIdentity): number {
    let longest = 0
    if (![request.fingerprint, ...request.parts].some(each => this.#names.has(each))) return longest
    for (const block of this.#blocks.values()) if (matches(block, request)) longest = Math.max(longest, this.#remaining(block))
    return longest
  }

  /** Whether a block contains a name, also one that has expired. */
  contains (name: string): boolean {
    return this.#names.has(name)
  }

  /** Whether an active block refuses every request that has these names. */
  covers (names: readonly string[]): boolean {
    return [...this.#blocks.values()].some(each => this.#remaining(each) > 0 && each.names.every(name => names.includes(name)))
  }

  /** Whether a set of names was blocked and the block has expired. */
  hasExpired (names: readonly string[]): boolean {
    const block = this.#blocks.get(blockId(names))
    return block !== undefined && this.#remaining(block) === 0
  }

  /** Adds a block, or renews an expired one. Returns whether it was not in force. @param names sorted */
  add (names: readonly string[], since: number, duration: number): boolean {
    const id = blockId(names)
    const before = this.#blocks.get(id)
    if (before !== undefined && this.#remaining(before) > 0) return false
    this.#blocks.delete(id)
    this.#blocks.set(id, { names, since, duration })
    if (this.#blocks.size > maxBlocks) this.#blocks.delete([...this.#blocks.keys()][0])
    this.#index()
    return true
  }

  /**
   * Takes a name out of all blocks that rest on crashes before `at`, since a request with that name has been served.
   * Returns the blocks that changed, and what is left of each; a block without anything but a team is lifted.
   */
  release (name: string, at: number): Array<{ readonly before: readonly string[], readonly after: readonly string[] }> {
    const changed = [...this.#blocks.values()].filter(({ names, since }) => names.includes(name) && since <= at)
    return changed.map(block => {
      const { names, since, duration } = block
      this.#blocks.delete(blockId(names))
      const after = this.#remaining(block) > 0 ? remainingNames(names, name) : []
      if (after.length > 0) this.add(after, since, duration)
      this.#index()
      return { before: names, after }
    })
  }

  /** Removes a block. Returns its names, or undefined if there is none with this id. */
  remove (id: string): readonly string[] | undefined {
    const block = this.#blocks.get(id)
    this.#blocks.delete(id)
    this.#index()
    return block?.names
  }

  #index (): void {
    this.#names = new Set([...this.#blocks.values()].flatMap(each => each.names))
  }

  #remaining ({ since, duration }: BlockRecord): number {
    return Math.max(0, since + duration - this.#clock.now())
  }
}

/** The names of a block without one of them; empty if nothing is left that could crash an upstream. */
export function remainingNames (names: readonly string[], removed: string): string[] {
  const left = names.filter(each => each !== removed)
  return left.every(isTeamName) ? [] : left
}

function matches ({ names }: BlockRecord, { fingerprint, parts, team }: RequestIdentity): boolean {
  return names.every(name => name === team || name === fingerprint || parts.includes(name))
}
