/** The worker: the process beside each upstream node. */
export { Worker, type UpstreamOptions, type WorkerOptions } from './worker.js'
