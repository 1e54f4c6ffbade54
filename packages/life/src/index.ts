/** Runs a process from its start to its planned end. */
export { run, type Addresses, type Daemon } from './run.js'
