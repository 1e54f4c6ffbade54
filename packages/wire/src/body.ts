import { type IncomingMessage } from 'node:http'
import { Err, Ok, type Result } from 'ts-results-es'
import { Fault } from '@eiderwind/fault'

/** Reads a whole body, or refuses one that is longer than `limit` bytes without reading on. The connection stays open for the refusal. */
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
    return Err(new Fault('bad-request', { detail: 'The connection broke before the body was whole.' }))
  }
  return Ok(Buffer.concat(chunks))
}

function tooLarge (limit: number): Fault {
  return new Fault('too-large', { detail: `The body is longer than ${limit} bytes.` })
}
