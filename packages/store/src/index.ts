/** The platform's object API: the interface, the HTTP client, and an implementation in memory. */
export { Store, type StoredObject } from './store.js'
export { HttpStore, type HttpStoreOptions } from './http.js'
export { MemoryStore } from './memory.js'
