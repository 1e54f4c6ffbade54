/** Settings of each role: INI files that are checked against a schema. All problems of a file are reported together. */
export { schemas, type DirectSettings, type EntrySettings, type Role, type WorkerSettings } from './shapes.js'
export { checkSettings, problemLine, readSettings, type Problem, type Settings } from './read.js'
