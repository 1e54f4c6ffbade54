/** A bounded admission queue, weighted by team priority. */
export { Queue, type Admission, type Bounds, type Request, type Ticket } from './queue.js'
