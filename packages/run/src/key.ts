/**
 * Idempotency keys: parsing, minting, and their assignment to slots. All functions are pure. The number of slots is
 * part of the protocol between processes.
 */
import { validate, v7, version } from 'uuid'
import { Err, Ok, type Result } from 'ts-results-es'
import { Fault } from '@eiderwind/fault'

/** Number of slots of a service. Each key belongs to one slot, and each slot has its own home. */
export const slotCount = 12

/** Number of hex digits of the time of minting at the start of a UUID of version 7 (RFC 9562, section 5.7). */
const timeDigits = 12

/** Number of hex digits at the end of a key that determine its slot: 32 random bits. */
const slotDigits = 8

/** The UUID version that contains the time of minting. */
const keyVersion = 7

/** An idempotency key: a UUID of version 7 (RFC 9562, section 5.7), which contains its time of minting. */
export interface Key {
  readonly text: string
  /** The time of minting, in ms since the Unix epoch, on the clock of the process that minted the key. */
  readonly minted: number
  readonly slot: number
}

/** Parses a key as received from a caller. Quotes around it are ignored. */
export function readKey (text: string): Result<Key, Fault> {
  const plain = text.trim().replaceAll('"', '').toLowerCase()
  if (!validate(plain) || version(plain) !== keyVersion) return Err(new Fault('key-invalid'))
  const hex = plain.replaceAll('-', '')
  return Ok({ text: plain, minted: parseInt(hex.slice(0, timeDigits), 16), slot: parseInt(hex.slice(-slotDigits), 16) % slotCount })
}

/** Mints a key at wall time `wall`. */
export function mintKey (wall: number): string {
  return v7({ msecs: Math.floor(wall) })
}
