/**
 * Waits until a server has read all that had arrived, so that closing it leaves no request unread. The runtime accepts
 * one connection per turn of its event loop and reads each socket that has data; nothing tells what the operating
 * system still holds. A turn that brought neither a connection nor a request shows that it held none.
 */
import { type Server } from 'node:http'
import { type Clock } from '@eiderwind/clock'

/**
 * Longest turn that shows so, in ms. What arrives in it crosses the close, and so its length bounds for how long such a
 * request has waited. A pause of the process makes a turn long.
 */
const maxTurn = 50

/** Time between two checks while requests are unanswered, in ms. Below `maxTurn`. */
const checkInterval = 10

/** For how long the wait goes on beyond its end after a turn that was too long, in ms: what arrived in it is read. */
const readingTime = 100

/** Number of turns after which the wait goes on beyond its end. It bounds the excess while each turn is too long. */
const maxExtensions = 2

/** What to wait for, and for how long. */
export interface QuietOptions {
  readonly clock: Clock
  /** When the wait ends, on `Clock.now`, unless a turn that was too long has just ended. */
  readonly until: number
  /** Whether all requests that were read are answered. */
  readonly isAnswered: () => boolean
}

/**
 * Resolves at the end of a turn in which nothing more was to be read, so that what is closed before the next turn is
 * idle. Returns false if the time is over before.
 */
export function untilQuiet (server: Server, { clock, until, isAnswered }: QuietOptions): Promise<boolean> {
  const arrivals = new Arrivals(server)
  return new Promise(resolve => {
    // Whatever had arrived before this time was read in the turns after it.
    let readUntil = -Infinity
    let endsAt = until
    let extensions = 0
    const endTurn = (): void => {
      const now = clock.now()
      const isLong = now - readUntil > maxTurn
      const isQuiet = !arrivals.take() && !isLong && isAnswered()
      if (isLong && now >= endsAt && extensions < maxExtensions) {
        extensions++
        endsAt = now + readingTime
      }
      if (isQuiet || now >= endsAt) {
        arrivals.stop()
        return resolve(isQuiet)
      }
      readUntil = now
      // Immediates run after the sockets are read, and so do the timers of the clock.
      if (isAnswered()) setImmediate(endTurn)
      else clock.after(checkInterval, endTurn)
    }
    setImmediate(endTurn)
  })
}

/** Records whether connections or requests have arrived at a server. */
class Arrivals {
  readonly #server: Server
  readonly #record = (): void => { this.#hasArrived = true }
  #hasArrived = false

  constructor (server: Server) {
    this.#server = server
    for (const event of ['connection', 'drop', 'request']) server.on(event, this.#record)
  }

  /** Whether anything has arrived since the last call. */
  take (): boolean {
    const hasArrived = this.#hasArrived
    this.#hasArrived = false
    return hasArrived
  }

  stop (): void {
    for (const event of ['connection', 'drop', 'request']) this.#server.off(event, this.#record)
  }
}
