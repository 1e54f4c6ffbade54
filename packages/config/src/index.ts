/** The operators' configuration: its changes, their writer with an audit trail, and the current value in a process. */
export { Change, apply, describe } from './change.js'
export { CurrentConfiguration, type ConfigurationListener } from './current.js'
export { Writer, configurationKey, type ChangeRequest, type WriterOptions } from './writer.js'
