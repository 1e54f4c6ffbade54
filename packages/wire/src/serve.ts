import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { type Fault } from '@eiderwind/fault'
import { type EntryRouter, type WorkerRouter } from './calls.js'
import { callerHeaders, callsPath } from './headers.js'

/** Handles one HTTP request. */
export type Handler = (request: IncomingMessage, response: ServerResponse) => void

/** Options of a server. */
export interface ServeOptions {
  /** The calls that are served below `/trpc/`. */
  readonly router?: EntryRouter | WorkerRouter
  /** Handles every other path. Default: answers 404. */
  readonly handler?: Handler
}

/** An HTTP server for calls between processes and for requests. It does not listen yet; without options it answers 404 until `serve` is called. */
export function makeServer (options: ServeOptions = {}): Server {
  const server = createServer({ keepAliveTimeout: 60_000, requestTimeout: 0, noDelay: true })
  server.headersTimeout = 65_000
  serve(server, options)
  return server
}

/** Has a server serve something else from now on. */
export function serve (server: Server, options: ServeOptions): void {
  const calls = options.router === undefined ? undefined : createHTTPHandler({ router: options.router, basePath: `${callsPath}/` })
  const handler = options.handler ?? notFound
  server.removeAllListeners('request')
  server.on('request', (request, response) => {
    if (calls !== undefined && request.url?.startsWith(`${callsPath}/`) === true) calls(request, response)
    else handler(request, response)
  })
}

/** Listens on `host:port` and gives the port that was taken, which matters for port 0. */
export function listen (server: Server, address: string): Promise<number> {
  const { host, port } = splitAddress(address)
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve((server.address() as { port: number }).port)
    })
  })
}

/** The parts of `host:port`. */
export function splitAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}

/** Answers a request with a fault. Where an answer has begun, the connection is cut, so that it cannot pass for whole. */
export function answerFault (response: ServerResponse, fault: Fault): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const body = JSON.stringify({ error: fault.body })
  response.statusCode = fault.status
  response.setHeader('content-type', 'application/json')
  response.setHeader('content-length', Buffer.byteLength(body))
  response.setHeader(callerHeaders.outcome, fault.outcome)
  if (fault.retryAfter !== undefined) response.setHeader('retry-after', fault.retryAfter)
  response.end(body)
}

function notFound (_request: IncomingMessage, response: ServerResponse): void {
  response.statusCode = 404
  response.end()
}
