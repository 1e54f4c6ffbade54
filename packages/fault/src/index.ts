/** The typed errors of refused requests, for all programs of the system. */
export { kinds, type Code, type Kind, type Outcome } from './kinds.js'
export { Fault, asFault, type FaultBody, type FaultOptions } from './fault.js'
