import { createServer, type Server } from 'node:http'
import { listen } from '@eiderwind/wire'

/** Answers the balancer's question whether this entry takes requests: 200 or 503. */
export class Health {
  readonly #server: Server
  readonly #address: string

  constructor (address: string, ready: () => boolean) {
    this.#address = address
    this.#server = createServer((_request, response) => {
      response.statusCode = ready() ? 200 : 503
      response.end()
    })
  }

  async start (): Promise<void> {
    await listen(this.#server, this.#address)
  }

  stop (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
