/** Runs at most once: keys, what their home knows of them, the homes' leases, and the fate of attempts. */
export { mintKey, readKey, slotCount, type Key } from './key.js'
export { Book, type BookOptions, type Run, type StoredAnswer, type Verdict } from './book.js'
export { Attempts, type AttemptsOptions, type Fate } from './attempts.js'
export { Homes, type Give, type HeldSlot, type HomeListener, type HomesOptions } from './home.js'
