/**
 * Answers of an upstream as raw bytes, whole or broken off, and a caller that sees how its answer is framed and how it
 * ended. For tests of all processes that forward answers.
 */
import { request, type IncomingMessage } from 'node:http'
import { connect } from 'node:net'

/** How the end of an answer's body is marked. */
type Framing = 'a length' | 'chunks' | 'neither length nor chunks'

/** An answer of an upstream: its form, and how its connection ends. */
export interface AnswerForm {
  readonly framing: Framing
  /** Whether its head says that its connection is closed after it. */
  readonly announcesClose: boolean
  /** Whether it breaks off in the middle of its body. */
  readonly broken: boolean
  readonly ending: 'close' | 'reset'
}

/** What a caller received. */
export interface Received {
  readonly status: number
  readonly body: string
  /** Whether the answer marks its own end, by a length or by chunks. */
  readonly framed: boolean
  /** Whether it ended in order. */
  readonly whole: boolean
}

/** A caller's request. */
export interface CallerRequest {
  readonly port: number
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

/** The body of each whole answer, and the part of it that is sent before it breaks off. */
export const wholeBody = 'an answer of an upstream'
const brokenBody = wholeBody.slice(0, 10)

/** Time from the last bytes of an answer to the end of its connection, in ms. The bytes have been read by then. */
const endDelay = 30

/** Each form of an answer. */
export const answerForms: readonly AnswerForm[] = (['a length', 'chunks', 'neither length nor chunks'] as const).flatMap(framing =>
  [false, true].flatMap(announcesClose => [
    { framing, announcesClose, broken: false, ending: 'close' as const },
    { framing, announcesClose, broken: true, ending: 'close' as const },
    { framing, announcesClose, broken: true, ending: 'reset' as const }
  ]))

/** A form in words. */
export function titleOf ({ framing, announcesClose, broken, ending }: AnswerForm): string {
  return `${framing}${announcesClose ? ' and connection: close' : ''}, ${broken ? `broken off by a ${ending}` : 'whole'}`
}

/** Answers a request with an answer of this form. @param header a header line of the answer */
export function sendForm (form: AnswerForm, { socket }: IncomingMessage, header: string): void {
  const lines = ['HTTP/1.1 200 OK', header, ...form.announcesClose ? ['connection: close'] : [], ...framingLines(form)]
  socket.write(`${lines.join('\r\n')}\r\n\r\n${bodyBytes(form)}`)
  setTimeout(() => form.ending === 'reset' ? socket.resetAndDestroy() : socket.end(), endDelay)
}

function framingLines ({ framing }: AnswerForm): string[] {
  if (framing === 'a length') return [`content-length: ${wholeBody.length}`]
  return framing === 'chunks' ? ['transfer-encoding: chunked'] : []
}

function bodyBytes ({ framing, broken }: AnswerForm): string {
  if (framing !== 'chunks') return broken ? brokenBody : wholeBody
  const first = `${brokenBody.length.toString(16)}\r\n${brokenBody}\r\n`
  const rest = wholeBody.slice(brokenBody.length)
  return broken ? first : `${first}${rest.length.toString(16)}\r\n${rest}\r\n0\r\n\r\n`
}

/** Sends a request and resolves with what came back. Never rejects: status 0 means that no answer began. */
export function receive ({ port, method, path, headers, body }: CallerRequest): Promise<Received> {
  return new Promise(resolve => {
    let wasReset = false
    const sent = request({ host: '127.0.0.1', port, method, path, headers: { ...headers, 'content-length': String(body.length) }, agent: false }, response => {
      const { statusCode: status = 0, headers: { 'content-length': length, 'transfer-encoding': encoding } } = response
      const framed = length !== undefined || encoding !== undefined
      let text = ''
      response.setEncoding('utf8').on('data', (chunk: string) => { text += chunk })
      response.on('end', () => resolve({ status, body: text, framed, whole: response.complete && !wasReset }))
      response.on('error', () => resolve({ status, body: text, framed, whole: false }))
    })
    // Node.js reports a reset that arrives with the last bytes as an ordinary end (`watchEnding` in connections.ts).
    sent.on('socket', socket => socket.prependListener('end', () => { wasReset = socket.remoteAddress === undefined }))
    sent.on('error', () => resolve({ status: 0, body: '', framed: false, whole: false }))
    sent.end(body)
  })
}

/**
 * Sends a request with HTTP/1.0, for which Node.js has no client, and resolves with whether the connection of its answer
 * was closed in order. For such a caller the end of the connection is the end of the answer.
 */
export function closesInOrder ({ port, method, path, headers, body }: CallerRequest): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect(port, '127.0.0.1')
    const lines = Object.entries({ ...headers, 'content-length': String(body.length) }).map(([name, value]) => `${name}: ${value}\r\n`)
    socket.resume()
    socket.on('error', () => resolve(false))
    socket.on('close', () => resolve(true))
    socket.write(`${method} ${path} HTTP/1.0\r\n${lines.join('')}\r\n${body}`)
  })
}

/**
 * What is wrong with what a caller received for an answer of this form, or undefined. A broken answer must not look
 * whole. One that ends with a close and has neither a length nor chunks cannot be told from a whole one: it must reach
 * the caller as it is.
 */
export function faultOf ({ framing, broken, ending }: AnswerForm, { status, body, framed, whole }: Received): string | undefined {
  const seen = `${status}, ${body.length} bytes, ${framed ? 'framed' : 'not framed'}, ${whole ? 'looks whole' : 'looks broken'}`
  const looksWhole = status === 200 && whole
  if (!broken) return looksWhole && body === wholeBody && framed === (framing !== 'neither length nor chunks') ? undefined : seen
  const mayLookWhole = framing === 'neither length nor chunks' && ending === 'close' && !framed
  return looksWhole && !mayLookWhole ? seen : undefined
}
