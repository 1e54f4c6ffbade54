/**
 * HTTP servers for callers' requests and for calls between processes. Relies on tRPC for the procedures of the calls.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { splitAddress } from '@eiderwind/address'
import { TRPCError } from '@trpc/server'
import { type EntryRouter, type WorkerRouter } from './calls.js'
import { answerFault } from './answer.js'
import { readBody } from './body.js'
import { closeAfterHeadTime } from './headtime.js'
import { callsPath } from './headers.js'

/** Maximum body of a call between processes, in bytes. The longest bodies are configurations. */
const maxCallBody = 8 * 2 ** 20

/** How long an idle connection is kept open, in ms. */
const keepAliveTime = 60_000

/** Maximum time to receive the head of a request, in ms. Longer than `keepAliveTime`, as Node.js advises. */
const headTimeout = 65_000

/** Statuses of calls between processes. */
export const callStatuses = { ok: 200, badRequest: 400, notFound: 404, internalError: 500 } as const

/** Handles one HTTP request. */
export type Handler = (request: IncomingMessage, response: ServerResponse) => void

/** Options of a server. */
export interface ServeOptions {
  /** Procedures served below `/trpc/`. */
  readonly router?: EntryRouter | WorkerRouter
  /** Handles every other path. Default: answers 404. */
  readonly handler?: Handler
}

/** Creates a server that does not listen yet. Without options it answers 404 until `serve` is called. */
export function makeServer (options: ServeOptions = {}): Server {
  const server = createServer({ keepAliveTimeout: keepAliveTime, requestTimeout: 0, noDelay: true })
  server.headersTimeout = headTimeout
  closeIdleConnections(server)
  serve(server, options)
  return server
}

/**
 * Closes a connection when its idle time (`keepAliveTimeout`) or the time for a request's head (`headersTimeout`) ends,
 * unless a request has arrived on it. Node.js alone would close it before it reads that request if the event loop was
 * delayed.
 */
export function closeIdleConnections (server: Server): void {
  closeAfterHeadTime(server)
  server.on('timeout', socket => {
    const { bytesRead } = socket
    // Immediates run after the sockets are read.
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) socket.destroy()
    })
  })
}

/** What `serve` has each server handle requests with. Other listeners of the servers stay when it is replaced. */
const handlers = new WeakMap<Server, Handler>()

/** Replaces the router and handler of a server. */
export function serve (server: Server, options: ServeOptions): void {
  const calls = options.router === undefined ? undefined : callsHandler(options.router)
  const handler = options.handler ?? notFound
  const handle: Handler = (request, response) => {
    if (calls !== undefined && request.url?.startsWith(`${callsPath}/`) === true) calls(request, response)
    else handler(request, response)
  }
  const replaced = handlers.get(server)
  if (replaced !== undefined) server.off('request', replaced)
  server.on('request', handle)
  handlers.set(server, handle)
}

/**
 * Listens on `host:port` and resolves to the port. For port 0, the system chooses a free port. Rejects if the address
 * is in use.
 */
export function listen (server: Server, address: string): Promise<number> {
  const { host, port } = splitAddress(address)
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      // A connection that cannot be accepted concerns its caller alone, who opens another one. The server goes on.
      server.on('error', () => {})
      resolve((server.address() as { port: number }).port)
    })
  })
}

/** A procedure of a router, called by name. */
type Procedure = (input: unknown) => Promise<unknown>

/**
 * Serves a router's procedures with the requests and responses of Node.js. tRPC checks the input and finds the
 * procedure. The HTTP adapter of tRPC is not used: it creates a web request, a response and streams for each call,
 * which costs more than eight times as much.
 */
function callsHandler (router: EntryRouter | WorkerRouter): Handler {
  const caller = router.createCaller({}) as unknown as Readonly<Record<string, Procedure | undefined>>
  const names = new Set(Object.keys(router._def.procedures))
  return (request, response) => {
    const name = (request.url ?? '').slice(callsPath.length + 1)
    const procedure = names.has(name) ? caller[name] : undefined
    if (procedure === undefined) return notFound(request, response)
    // `answerCall` answers errors itself. If that fails too, the connection is closed.
    answerCall(procedure, request, response).catch(() => response.destroy())
  }
}

async function answerCall (procedure: Procedure, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const body = await readBody(request, maxCallBody)
  if (body.isErr()) return answerFault(response, body.error)
  try {
    const input: unknown = body.value.length === 0 ? undefined : JSON.parse(body.value.toString())
    const output = await procedure(input)
    response.end(output === undefined ? '' : JSON.stringify(output))
  } catch (error) {
    // The caller reports the error: its call rejects with an error that contains this message.
    response.statusCode = error instanceof TRPCError || error instanceof SyntaxError ? callStatuses.badRequest : callStatuses.internalError
    response.end(JSON.stringify({ message: (error as Error).message }))
  }
}

function notFound (_request: IncomingMessage, response: ServerResponse): void {
  response.statusCode = callStatuses.notFound
  response.end()
}
