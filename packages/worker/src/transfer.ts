/**
 * Moves the KV caches of sessions between engines of one version. Owns nothing; bounds the time of each move.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { request as send } from 'undici'
import { withTimeout, type Clock } from '@eiderwind/clock'
import { Fault } from '@eiderwind/fault'
import { type Log } from '@eiderwind/log'
import { type ModelAssignment, type Peer } from '@eiderwind/schema'
import { answerFault, header, sessionsPath, wireHeaders, type Clients } from '@eiderwind/wire'
import { type WorkerBoard } from './facts.js'
import { type Sessions } from './sessions.js'
import { type EngineUpstream } from './upstream.js'

/** How long the move of one session may take, in ms. */
const moveTimeout = 2000

/** What the transfer of sessions depends on. */
export interface SessionTransferOptions {
  readonly clock: Clock
  readonly board: WorkerBoard
  readonly clients: Clients
  readonly engine: EngineUpstream
  readonly sessions: Sessions
  readonly log: Log
}

/**
 * Moves the KV caches of sessions between the engines of two replicas of the same version, at planned stops. A session
 * that is not moved costs only the time to fill its cache again.
 */
export class SessionTransfer {
  readonly #options: SessionTransferOptions

  constructor (options: SessionTransferOptions) {
    this.#options = options
  }

  /** Hands over the sessions of a stopping replica to other replicas of its service. */
  async handOver ({ service, replica, version }: ModelAssignment): Promise<void> {
    const { sessions, log } = this.#options
    const heads = (await this.#readHeads(service)).filter(each => each.id !== replica)
    const { known, moved } = await sessions.handOver(heads, (session, head) => this.#move(session, version, head))
    if (known > 0) log.write('sessions-handed', { replica, known, moved })
  }

  /** Takes over a session from another worker, if the engine beside this worker has loaded the session's version. */
  async receive (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { board, engine } = this.#options
    const { loaded } = board.read('upstream')
    if (!board.read('serving') || loaded?.version !== header(request, wireHeaders.version)) return answerFault(response, new Fault('not-serving'))
    const session = (request.url ?? '').slice(sessionsPath.length)
    response.statusCode = await engine.importSession(session, request)
    response.end()
  }

  /** The heads of the service's serving replicas, from the first entry that answers. Each `id` is the replica's id. */
  async #readHeads (service: string): Promise<Peer[]> {
    const { board, clients } = this.#options
    for (const entry of board.read('entries')) {
      // If an entry does not answer, the next one is tried. If none answers, no session is moved, which
      // `sessions-handed` shows.
      const heads = await clients.entry(entry).heads({ service }).catch(() => undefined)
      if (heads !== undefined) return heads
    }
    return []
  }

  async #move (session: string, version: string, { address }: Peer): Promise<boolean> {
    const body = await this.#options.engine.exportSession(session, moveTimeout)
    if (body === undefined) return false
    return await withTimeout(this.#options.clock, moveTimeout, async signal => {
      const response = await send(`http://${address}${sessionsPath}${session}`, {
        method: 'PUT',
        headers: { [wireHeaders.version]: version },
        body,
        signal
      })
      await response.body.dump()
      return response.statusCode === 200
    })
  }
}
