/** Common parts of the stand-ins: an HTTP server on loopback, reading a request body, answering with JSON. */
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

  /** Base URL, such as `http://127.0.0.1:7000`. */
  get url (): string {
    return `http://127.0.0.1:${this.#port}`
  }

  get port (): number {
    return this.#port
  }

  /** Listens on loopback. With port 0 the system chooses a free port. */
  start (port = 0): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, '127.0.0.1', () => {
        this.#port = (this.#server.address() as { port: number }).port
        resolve()
      })
    })
  }

  /** Closes the listener and all connections immediately. */
  stop (): Promise<void> {
    return new Promise(resolve => {
      this.#server.close(() => resolve())
      this.#server.closeAllConnections()
    })
  }

  /** Answers one request. If it rejects, the connection is closed. */
  protected abstract serve (request: IncomingMessage, response: ServerResponse): Promise<void>
}

/** Reads the complete body of a request as text. */
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
