/**
 * The balancer's health check: answers 200 while this gateway takes requests, and 503 otherwise. Owns the listener. The
 * definition of "ready" is in `gateway.ts`.
 */
import { createServer, type Server } from 'node:http'
import { type TaskFailures } from '@eiderwind/life'
import { closeIdleConnections, listen } from '@eiderwind/wire'

/** Statuses of the health check (RFC 9110). */
const statuses = { ready: 200, notReady: 503 } as const

/** Answers the balancer's health check. */
export class Health {
  readonly #server: Server
  readonly #address: string

  constructor (address: string, ready: () => boolean, failures: TaskFailures) {
    this.#address = address
    this.#server = createServer((_request, response) => {
      response.statusCode = statuses.notReady
      failures.run('health', () => { if (ready()) response.statusCode = statuses.ready })
      response.end()
    })
    closeIdleConnections(this.#server)
  }

  async start (): Promise<void> {
    await listen(this.#server, this.#address)
  }

  stop (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
