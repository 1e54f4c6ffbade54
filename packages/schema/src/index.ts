/** The shapes of everything that is stored or sent between the system's processes. */
export * from './configuration.js'
export * from './placement.js'
export * from './report.js'
export * from './handover.js'
