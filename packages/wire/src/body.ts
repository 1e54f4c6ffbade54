/** Reads request bodies up to a limit. */
import { type IncomingMessage } from 'node:http'
import { Err, Ok, type Result } from 'ts-results-es'
import { Fault } from '@eiderwind/fault'

/**
 * Reads a whole body. One longer than `limit` bytes is a fault, `too-large`, and is not read further; the connection stays
 * open for the answer. One that breaks off is a fault, `bad-request`.
 */
export async function readBody (request: IncomingMessage, limit: number): Promise<Result<Buffer, Fault>> {
  const declared = Number(request.headers['content-length'] ?? 0)
  if (declared > limit) return Err(tooLarge(limit))
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > limit) return Err(tooLarge(limit))
      chunks.push(chunk)
    }
  } catch {
    // The only cause is that the caller's connection broke; the fault says so.
    return Err(new Fault('bad-request', { detail: 'The connection was closed before the body was complete.' }))
  }
  return Ok(Buffer.concat(chunks))
}

function tooLarge (limit: number): Fault {
  return new Fault('too-large', { detail: `The body is longer than ${limit} bytes.` })
}
