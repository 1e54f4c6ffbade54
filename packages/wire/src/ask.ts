/** A call whose answer is awaited whole, with a deadline: how the store, engines and other gateways are called. */
import { type Clock } from '@eiderwind/clock'
import { type Call } from './call.js'
import { Collector, type Collected } from './collector.js'
import { type Connections } from './connections.js'

/** The error of a call that got no whole answer. */
export class Unanswered extends Error {
  /** Whether the request may have reached the other side. */
  readonly sent: boolean
  /** Whether nothing listens at the address, so that the process there has ended. */
  readonly refused: boolean

  constructor (error: Error, sent: boolean) {
    super(error.message)
    this.name = 'Unanswered'
    this.sent = sent
    this.refused = (error as { code?: string }).code === 'ECONNREFUSED'
  }
}

/**
 * Sends a call and resolves to the whole answer, whatever its status. Rejects with `Unanswered`, after `time` ms at the
 * latest; the connection is then closed.
 */
export function ask (connections: Connections, clock: Clock, call: Call, time: number): Promise<Collected> {
  return new Promise((resolve, reject) => {
    const failed = (error: Error, sent: boolean): void => {
      timer.cancel()
      reject(new Unanswered(error, sent))
    }
    const collector = new Collector({
      whole: answer => {
        timer.cancel()
        resolve(answer)
      },
      failed: ({ error, sent }) => failed(error, sent)
    })
    const timer = clock.after(time, () => cancel(new Error(`No answer within ${time} ms.`)))
    const cancel = connections.send(call, collector)
  })
}
