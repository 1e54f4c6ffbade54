/**
 * Which sessions an engine holds, and their hand-over at a planned stop. Owns the list in memory; a session that is not moved
 * costs its reader time and nothing else.
 */
import { type Clock } from '@eiderwind/clock'
import { ranked } from '@eiderwind/hash'
import { type Peer } from '@eiderwind/schema'

/** Most sessions that are remembered. */
const mostSessions = 2000

/** Sessions that are moved at once. */
const atOnce = 8

/** How long a replica that stops hands sessions over at the most, in ms: meanwhile its nodes serve nothing. */
const handTime = 3000

/** Moves one session to the replica of a head, and says whether it is there. It may reject. */
export type Move = (session: string, head: Peer) => Promise<boolean>

/** What became of the sessions of a replica that stopped. */
export interface Handed {
  readonly known: number
  readonly moved: number
}

/**
 * The sessions that a replica served last. When it stops as planned, each goes to the replica that entries will send it
 * to next: they choose by rendezvous hashing of the session, so this worker can tell which that is.
 */
export class Sessions {
  readonly #clock: Clock
  readonly #known = new Set<string>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Notes that a session was served now. */
  note (session: string | undefined): void {
    if (session === undefined) return
    this.#known.delete(session)
    this.#known.add(session)
    if (this.#known.size <= mostSessions) return
    const [oldest] = this.#known
    this.#known.delete(oldest)
  }

  /** Moves every session, the latest first, to one of the replicas with these heads. Gives up what is left after a few seconds. */
  async hand (heads: readonly Peer[], move: Move): Promise<Handed> {
    const known = this.#known.size
    const left = [...this.#known].reverse()
    this.#known.clear()
    const end = this.#clock.now() + handTime
    let moved = 0
    const work = async (): Promise<void> => {
      for (let session = left.shift(); session !== undefined && this.#clock.now() < end; session = left.shift()) {
        // A session that is not moved costs the next replica its cache only; `sessions-handed` has the counts.
        if (await move(session, next(session, heads)).catch(() => false)) moved++
      }
    }
    if (heads.length > 0) await Promise.all(Array.from({ length: atOnce }, work))
    return { known, moved }
  }
}

/** The head of the replica that entries prefer for a session. */
function next (session: string, heads: readonly Peer[]): Peer {
  const [id] = ranked(session, heads.map(each => each.id))
  return heads.find(each => each.id === id) as Peer
}
