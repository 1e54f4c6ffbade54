/** Execution at most once per key: idempotency keys, books of runs, homes of slots, and the fate of attempts. */
export { mintKey, readKey, slotCount, type Key } from './key.js'
export { Book, type BookOptions, type Run, type StoredAnswer, type KeyDecision } from './book.js'
export { Attempts, type AttemptsOptions, type AttemptFate } from './attempts.js'
export { Homes, type HandoverSender, type HeldSlot, type HomeListener, type HomesOptions, type Opening } from './home.js'
