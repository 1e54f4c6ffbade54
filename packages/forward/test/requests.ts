/** Creates requests for tests, without a connection to a caller. */
import { IncomingMessage, ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import { type ManualClock } from '@eiderwind/clock'
import { type Route } from '@eiderwind/traffic'
import { Log } from '@eiderwind/log'
import { CallerRequest, Deliveries } from '../src/index.js'

/** Options of a request for a test. */
interface RequestOptions extends Pick<Route, 'kind' | 'resumable'> {
  readonly attempts?: number
  readonly arrivedAt?: number
  /** Called with the outcome. */
  readonly onEnd?: (outcome: string) => void
}

/** Creates a request `r1` for a route that permits `attempts` attempts. It ends 1,000 ms after `arrivedAt`. */
export function callerRequest (clock: ManualClock, { attempts = 3, arrivedAt = 0, onEnd = () => {}, ...route }: RequestOptions): CallerRequest {
  const message = new IncomingMessage(new Socket())
  return new CallerRequest({
    clock,
    id: 'r1',
    incoming: message,
    response: new ServerResponse(message),
    body: undefined,
    route: { name: 'x', host: 'h', prefix: '/', timeout: 1000, objective: 200, gap: 200, priority: 1, attempts, open: true, shares: [{ service: 's', weight: 1 }], ...route },
    service: 's',
    team: undefined,
    arrivedAt,
    endsAt: arrivedAt + 1000,
    names: { request: 'id', model: 'model' },
    deliveries: new Deliveries({ clock, log: new Log({ sink: () => {} }), bounds: { perCaller: 32_768, total: 1_048_576, patience: 10_000 } }),
    onEnd: (_request, outcome) => onEnd(outcome)
  })
}
