/**
 * Ends connections whose request is malformed, or whose head takes too long. Node.js checks the time of a head before
 * it reads what lies in the socket, so after a delay of the event loop it would refuse requests that have arrived. Owns
 * the responses in flight by connection, because nothing may be written into one.
 */
import { STATUS_CODES, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Duplex } from 'node:stream'

/** Error code of Node.js for a head that takes too long. */
const headTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT'

/** The statuses with which Node.js itself answers these errors; others get `badRequest`. */
const statuses: Readonly<Record<string, number>> = { HPE_HEADER_OVERFLOW: 431, HPE_CHUNK_EXTENSIONS_OVERFLOW: 413, [headTimeoutCode]: 408 }
const badRequest = 400

/** Ends such connections of a server. A request whose head has arrived in time is served. */
export function closeAfterHeadTime (server: Server): void {
  const responses = new WeakMap<Duplex, ServerResponse>()
  server.on('request', ({ socket }: IncomingMessage, response: ServerResponse) => responses.set(socket, response))
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
    const code = error.code ?? ''
    const end = (): void => endConnection(socket, responses.get(socket), code)
    if (code === headTimeoutCode) endUnlessServed(server, socket, end)
    else end()
  })
}

/** Ends a connection unless a request begins on it before the sockets are read once more. */
function endUnlessServed (server: Server, socket: Duplex, end: () => void): void {
  let isServed = false
  const onRequest = (request: IncomingMessage): void => { isServed ||= request.socket === socket }
  server.on('request', onRequest)
  // Immediates run after the sockets are read.
  setImmediate(() => {
    server.off('request', onRequest)
    if (!isServed) end()
  })
}

function endConnection (socket: Duplex, response: ServerResponse | undefined, code: string): void {
  const isAnswering = response !== undefined && response.headersSent && !response.writableFinished
  if (socket.writable && !isAnswering) {
    const status = statuses[code] ?? badRequest
    socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`)
  }
  socket.destroy()
}
