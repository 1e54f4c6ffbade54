/** A bounded admission queue in which teams share places by their priorities. */
export { Queue, type Admission, type Bounds, type Request, type Ticket } from './queue.js'
