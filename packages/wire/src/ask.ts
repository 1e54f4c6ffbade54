import { type Clock } from '@eiderwind/clock'
import { type Call } from './call.js'
import { Collect, type Collected } from './collect.js'
import { type Connections } from './connections.js'

/** Why a call has no answer, and whether the other side may have got it. */
export class Unanswered extends Error {
  readonly sent: boolean
  /** Whether nothing listens at the address. */
  readonly refused: boolean

  constructor (error: Error, sent: boolean) {
    super(error.message)
    this.name = 'Unanswered'
    this.sent = sent
    this.refused = (error as { code?: string }).code === 'ECONNREFUSED'
  }
}

/** Makes a call and waits `time` ms for the whole answer. Rejects with `Unanswered`; the connection is then cut. */
export function ask (connections: Connections, clock: Clock, call: Call, time: number): Promise<Collected> {
  return new Promise((resolve, reject) => {
    const failed = (error: Error, sent: boolean): void => {
      timer.cancel()
      reject(new Unanswered(error, sent))
    }
    const collect = new Collect({
      whole: answer => {
        timer.cancel()
        resolve(answer)
      },
      failed: ({ error, sent }) => failed(error, sent)
    })
    const timer = clock.after(time, () => cancel(new Error(`No answer within ${time} ms.`)))
    const cancel = connections.send(call, collect)
  })
}
