/** The life cycle of a process, from its start to its graceful stop. */
export { run, type Addresses, type Daemon } from './run.js'
