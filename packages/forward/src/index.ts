/** Carries a caller's request to upstreams and their answers back. */
export { CallerRequest, type CallerRequestOptions } from './request.js'
export { type Context } from './context.js'
export { type HeaderNames } from './names.js'
export { servePlain } from './plain.js'
export { StreamPath } from './stream.js'
export { EventSplitter, type StreamEvent } from './events.js'
