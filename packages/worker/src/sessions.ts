/**
 * Remembers which sessions an engine holds, and hands them over to other replicas at a planned stop. Owns the list of
 * sessions, in memory. A session that is not moved loses only its cache: its next answer starts later.
 */
import { type Clock } from '@eiderwind/clock'
import { ranked } from '@eiderwind/hash'
import { type Peer } from '@eiderwind/schema'

/** Maximum number of sessions that are remembered. */
const maxSessions = 2000

/** Number of sessions that are moved concurrently. */
const concurrentMoves = 8

/**
 * Time after which the hand-over of a replica's sessions starts no further move, in ms. It is short because the nodes
 * of the replica serve nothing meanwhile.
 */
const maxHandoverTime = 3000

/** Moves one session to the replica of a head. Resolves with whether the session arrived. May reject. */
export type MoveSession = (session: string, head: Peer) => Promise<boolean>

/** Counts of the sessions of a replica that stopped. */
export interface HandoverCounts {
  /** Sessions that were remembered. */
  readonly known: number
  /** Sessions that arrived at another replica. */
  readonly moved: number
}

/**
 * The sessions that a replica served last. At a planned stop each session moves to the replica to which the entries
 * will send it next. Entries choose that replica by rendezvous hashing of the session, so this worker can compute it.
 */
export class Sessions {
  readonly #clock: Clock
  readonly #known = new Set<string>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Records that a session was served now. */
  recordUse (session: string | undefined): void {
    if (session === undefined) return
    this.#known.delete(session)
    this.#known.add(session)
    if (this.#known.size <= maxSessions) return
    const [oldest] = this.#known
    this.#known.delete(oldest)
  }

  /**
   * Moves every session, the latest first, to one of the replicas with these heads. After `maxHandoverTime` no further
   * move starts, and the remaining sessions are dropped.
   */
  async handOver (heads: readonly Peer[], move: MoveSession): Promise<HandoverCounts> {
    const known = this.#known.size
    const remaining = [...this.#known].reverse()
    this.#known.clear()
    const end = this.#clock.now() + maxHandoverTime
    let moved = 0
    const work = async (): Promise<void> => {
      for (let session = remaining.shift(); session !== undefined && this.#clock.now() < end; session = remaining.shift()) {
        // A failed move is not logged: the session only lacks its cache, and `sessions-handed` has the counts.
        if (await move(session, preferredHead(session, heads)).catch(() => false)) moved++
      }
    }
    if (heads.length > 0) await Promise.all(Array.from({ length: concurrentMoves }, work))
    return { known, moved }
  }
}

/** The head of the replica that entries prefer for a session. */
function preferredHead (session: string, heads: readonly Peer[]): Peer {
  const [id] = ranked(session, heads.map(each => each.id))
  return heads.find(each => each.id === id) as Peer
}
