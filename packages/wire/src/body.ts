/** Reads request bodies up to a limit. */
import { type IncomingMessage } from 'node:http'
import { Err, Ok, type Result } from 'ts-results-es'
import { Fault } from '@eiderwind/fault'

/**
 * Reads a complete body. A body longer than `maxBytes` gives the fault `too-large` and is not read further; the
 * connection stays open for the answer. A body that ends early gives the fault `bad-request`.
 */
export async function readBody (request: IncomingMessage, maxBytes: number): Promise<Result<Buffer, Fault>> {
  const declared = Number(request.headers['content-length'] ?? 0)
  if (declared > maxBytes) return Err(tooLarge(maxBytes))
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > maxBytes) return Err(tooLarge(maxBytes))
      chunks.push(chunk)
    }
  } catch {
    // The only possible cause is a broken connection to the caller, which the fault reports.
    return Err(new Fault('bad-request', { detail: 'The connection was closed before the body was complete.' }))
  }
  return Ok(Buffer.concat(chunks))
}

function tooLarge (limit: number): Fault {
  return new Fault('too-large', { detail: `The body is longer than ${limit} bytes.` })
}
