/** The life cycle of a process, from its start to its graceful stop, and the delays of its event loop. */
export { LoopDelays, type LoopDelaysOptions, type WorkTotals } from './loopdelays.js'
export { PortWait, type PortWaitOptions } from './portwait.js'
export { run, type Addresses, type Daemon } from './run.js'
export { TaskFailures, type TaskFailuresOptions } from './taskfailures.js'
