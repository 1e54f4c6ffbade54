/** Forwards a caller's request to upstreams, and their answers and streams to the caller. */
export { CallerRequest, type CallerRequestOptions } from './request.js'
export { type AnswerHead, type Context, type SendGate } from './context.js'
export { type BacklogBounds } from './backlog.js'
export { Deliveries } from './delivery.js'
export { type HeaderNames } from './names.js'
export { PlainPath } from './plainpath.js'
export { StreamPath, type Target } from './streampath.js'
export { EventSplitter, type StreamEvent } from './events.js'
