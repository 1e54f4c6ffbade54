/** Idempotency keys: reading, minting, and the slot of each. Pure functions; the number of slots is part of the protocol. */
import { validate, v7, version } from 'uuid'
import { Err, Ok, type Result } from 'ts-results-es'
import { Fault } from '@eiderwind/fault'

/** How many slots the keys of a service are divided into; each slot has its own home. */
export const slotCount = 12

/** Hex digits of the time of minting at the start of a UUID of version 7 (RFC 9562, section 5.7). */
const timeDigits = 12

/** Hex digits at the end of a key that choose its slot: 32 random bits. */
const slotDigits = 8

/** The version of UUID that holds its time of minting. */
const keyVersion = 7

/** An idempotency key: a UUID of version 7 (RFC 9562, section 5.7), which holds its time of minting. */
export interface Key {
  readonly text: string
  /** When it was minted, in ms since the Unix epoch, by the minter's clock. */
  readonly minted: number
  readonly slot: number
}

/** Reads a key as a caller sent it. */
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
