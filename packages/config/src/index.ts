/** The accepted configuration: described changes, one order, an audit trail. */
export { Change, apply, describe } from './change.js'
export { Current, type ConfigurationListener } from './current.js'
export { Writer, configurationKey, type ChangeOrder, type WriterOptions } from './writer.js'
