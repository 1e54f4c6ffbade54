/** The typed errors that the system answers with. */
export { kinds, type Code, type Kind, type Outcome } from './kinds.js'
export { Fault, asFault, type FaultBody, type FaultOptions } from './fault.js'
