/** Reads request bodies up to a limit. */
import { type IncomingMessage } from 'node:http'
import { Err, Ok, type Result } from 'ts-results-es'
import { Fault } from '@eiderwind/fault'
import { Bytes } from './bytes.js'

/** Room for one body among others. Lengths are in bytes. */
export interface BodyRoom {
  /** Whether a body of this length would find room now. Asked before it is read, if its length is known. */
  fits (length: number): boolean
  /** Takes room for the next piece. False if there is none. */
  take (length: number): boolean
}

/** Room without a bound. */
const unboundedRoom: BodyRoom = { fits: () => true, take: () => true }

/**
 * Reads a complete body. A body longer than `maxBytes` gives the fault `too-large` and is not read further; the
 * connection stays open for the answer. One that finds no room gives the fault `busy`, one that ends early
 * `bad-request`.
 */
export async function readBody (request: IncomingMessage, maxBytes: number, room = unboundedRoom): Promise<Result<Buffer, Fault>> {
  const declared = Number(request.headers['content-length'] ?? 0)
  if (declared > maxBytes) return Err(tooLarge(maxBytes))
  if (!room.fits(declared)) return Err(noRoom())
  const bytes = new Bytes()
  try {
    for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      if (bytes.size + chunk.length > maxBytes) return Err(tooLarge(maxBytes))
      if (!room.take(chunk.length)) return Err(noRoom())
      bytes.add(chunk)
    }
  } catch {
    // The only possible cause is a broken connection to the caller, which the fault reports.
    return Err(new Fault('bad-request', { detail: 'The connection was closed before the body was complete.' }))
  }
  return Ok(bytes.take())
}

function tooLarge (limit: number): Fault {
  return new Fault('too-large', { detail: `The body is longer than ${limit} bytes.` })
}

/** `Retry-After` of a body that found no room, in seconds. The new connection may reach another process. */
const noRoomRetryS = 0.2

function noRoom (): Fault {
  return new Fault('busy', { detail: 'Too many long bodies are held now.', remedy: 'Send the request again after the time given; another process may have room.', retryAfter: noRoomRetryS })
}
