/** A client of the platform's object API, and the same semantics in memory. */
export { Store, type Stored } from './store.js'
export { HttpStore, type HttpStoreOptions } from './http.js'
export { MemoryStore } from './memory.js'
