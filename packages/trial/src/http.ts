/** What the stand-ins have in common: a server on loopback, reading a body, answering with JSON. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'

/** A stand-in that serves HTTP on loopback. */
export abstract class StandIn {
  readonly #server: Server
  #port = 0

  constructor () {
    this.#server = createServer({ keepAliveTimeout: 60_000, requestTimeout: 0 }, (request, response) => {
      this.serve(request, response).catch(() => response.destroy())
    })
  }

  /** Such as `http://127.0.0.1:7000`. */
  get url (): string {
    return `http://127.0.0.1:${this.#port}`
  }

  get port (): number {
    return this.#port
  }

  /** Listens on loopback; port 0 takes any. */
  start (port = 0): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, '127.0.0.1', () => {
        this.#port = (this.#server.address() as { port: number }).port
        resolve()
      })
    })
  }

  /** Ends at once, with every connection. */
  stop (): Promise<void> {
    return new Promise(resolve => {
      this.#server.close(() => resolve())
      this.#server.closeAllConnections()
    })
  }

  protected abstract serve (request: IncomingMessage, response: ServerResponse): Promise<void>
}

/** The whole body of a request as text. */
export async function bodyText (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}

/** Answers with JSON. */
export function answerJson (response: ServerResponse, status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void {
  response.writeHead(status, { 'content-type': 'application/json', ...headers })
  response.end(JSON.stringify(value))
}
