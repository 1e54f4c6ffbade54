/**
 * Carries the KV caches of sessions between engines of one version. Owns nothing; limits how long each move takes.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { request as send } from 'undici'
import { Fault } from '@eiderwind/fault'
import { type Log } from '@eiderwind/log'
import { type ModelAssignment, type Peer } from '@eiderwind/schema'
import { answerFault, header, sessionsPath, wireHeaders, type Clients } from '@eiderwind/wire'
import { type WorkerBoard } from './facts.js'
import { type Sessions } from './sessions.js'
import { type EngineUpstream } from './upstream.js'

/** How long the move of one session may take, in ms. */
const moveTimeout = 2000

/** What the transfer of sessions stands on. */
export interface TransferOptions {
  readonly board: WorkerBoard
  readonly clients: Clients
  readonly engine: EngineUpstream
  readonly sessions: Sessions
  readonly log: Log
}

/** Carries the KV caches of sessions between the engines of two replicas of the same version, for planned stops. A session that is not moved is no loss but of time. */
export class Transfer {
  readonly #options: TransferOptions

  constructor (options: TransferOptions) {
    this.#options = options
  }

  /** Hands the sessions of a replica that stops over to other replicas of its service. */
  async hand ({ service, replica, version }: ModelAssignment): Promise<void> {
    const { sessions, log } = this.#options
    const heads = (await this.#heads(service)).filter(each => each.id !== replica)
    const { known, moved } = await sessions.hand(heads, (session, head) => this.#move(session, version, head))
    if (known > 0) log.write('sessions-handed', { replica, known, moved })
  }

  /** Takes a session from another worker, if the engine here has the version that it belongs to. */
  async receive (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { board, engine } = this.#options
    const { loaded } = board.read('upstream')
    if (!board.read('serving') || loaded?.version !== header(request, wireHeaders.version)) return answerFault(response, new Fault('not-serving'))
    const session = (request.url ?? '').slice(sessionsPath.length)
    response.statusCode = await engine.import(session, request)
    response.end()
  }

  /** The heads that serve, as the first entry that answers tells. */
  async #heads (service: string): Promise<Peer[]> {
    const { board, clients } = this.#options
    for (const entry of board.read('entries')) {
      // The next entry is asked; if none answers, no session is moved and `sessions-handed` shows it.
      const heads = await clients.entry(entry).heads({ service }).catch(() => undefined)
      if (heads !== undefined) return heads
    }
    return []
  }

  async #move (session: string, version: string, { address }: Peer): Promise<boolean> {
    const body = await this.#options.engine.exported(session, moveTimeout)
    if (body === undefined) return false
    const response = await send(`http://${address}${sessionsPath}${session}`, {
      method: 'PUT',
      headers: { [wireHeaders.version]: version },
      body,
      signal: AbortSignal.timeout(moveTimeout)
    })
    await response.body.dump()
    return response.statusCode === 200
  }
}
