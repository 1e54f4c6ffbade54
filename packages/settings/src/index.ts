/** Settings of each role: INI files, checked against a schema with every problem reported at once. */
export { shapes, type DirectSettings, type EntrySettings, type Role, type WorkerSettings } from './shapes.js'
export { checkSettings, problemLine, readSettings, type Problem, type Settings } from './read.js'
