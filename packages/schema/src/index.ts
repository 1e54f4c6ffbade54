/** The schemas of all objects that the processes of the system store or send to each other. */
export * from './configuration.js'
export * from './placement.js'
export * from './report.js'
export * from './handover.js'
