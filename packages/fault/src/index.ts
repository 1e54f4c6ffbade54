/** The typed errors with which the programs of the system refuse requests. */
export { kinds, type Code, type Kind, type Outcome } from './kinds.js'
export { Fault, asFault, type FaultBody, type FaultOptions } from './fault.js'
