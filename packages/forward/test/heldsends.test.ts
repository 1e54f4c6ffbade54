/** Requests while the list of upstreams is too old to send by it: they wait, and no attempt that was held counts. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { InFlight, Rests } from '@eiderwind/detect'
import { Availability, Queue, type AttemptResult, type RetryBudget } from '@eiderwind/dispatch'
import { type CallerRequest, type Context, type SendGate } from '../src/index.js'
import { Path } from '../src/path.js'
import { callerRequest } from './requests.js'
import { ScriptedTarget, upstream } from './targets.js'

const only = upstream('u')

/** A gate that the test closes and opens. */
class ScriptedGate implements SendGate {
  isClosed = false
  #open: () => void = () => {}
  opened: Promise<void> | undefined

  close (): void {
    this.isClosed = true
    this.opened = new Promise(resolve => { this.#open = resolve })
  }

  open (): void {
    this.isClosed = false
    this.opened = undefined
    this.#open()
  }
}

/** A path with one upstream. Each attempt waits for its connection until the test lets it begin. */
class WaitingPath extends Path {
  protected readonly kind = 'plain'
  protected readonly lastEvent = undefined
  readonly connected: Array<() => void> = []
  sent = 0
  outcome: AttemptResult | undefined

  constructor (context: Context, request: CallerRequest) {
    const target = new ScriptedTarget(context, request)
    super(context, request, target)
    target.find = avoided => avoided.has(only.id) ? undefined : only
  }

  protected async attempt (): Promise<AttemptResult> {
    this.request.beginAttempt(only.id)
    await new Promise<void>(resolve => this.connected.push(resolve))
    if (!this.mayBegin()) return { kind: 'not-run', why: 'withdrawn', sent: false }
    this.sent++
    return { kind: 'passed' }
  }

  protected prefer (_before: AttemptResult | undefined, latest: AttemptResult): AttemptResult {
    return latest
  }

  protected override conclude (result: AttemptResult | undefined): void {
    this.outcome = result
  }
}

function makePath (sendGate: SendGate): { path: WaitingPath, request: CallerRequest } {
  const clock = new ManualClock()
  const rests = new Rests({ clock, begun: () => {}, ended: () => {} })
  const context = {
    clock,
    sendGate,
    crashes: { standing: () => 'trusted', underTrial: new Set<string>(), wasCrashedByOthers: () => false },
    inFlight: new InFlight(clock, () => {}),
    availability: new Availability({ clock, rests }),
    queue: new Queue(clock),
    retryBudget: () => ({}) as unknown as RetryBudget
  } as unknown as Context
  const request = callerRequest(clock, { kind: 'once', resumable: false, arrivedAt: clock.now() })
  return { path: new WaitingPath(context, request), request }
}

async function settle (): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await undefined
}

test('a request that comes while sends are held is sent once they are not', async t => {
  const gate = new ScriptedGate()
  gate.close()
  const { path } = makePath(gate)
  const served = path.serve()
  await settle()
  t.is(path.connected.length, 0)
  gate.open()
  await settle()
  path.connected[0]()
  await served
  t.is(path.sent, 1)
})

// Guards against requests that are written after a pause to an upstream that was chosen before it.
test('an attempt whose connection is ready while sends are held is not sent, and may go to the same upstream afterwards', async t => {
  const gate = new ScriptedGate()
  const { path, request } = makePath(gate)
  const served = path.serve()
  await settle()
  gate.close()
  path.connected[0]()
  await settle()
  t.is(path.sent, 0)
  t.deepEqual([...request.tried], [])
  gate.open()
  await settle()
  path.connected[1]()
  await served
  t.is(path.sent, 1)
  t.is(path.outcome?.kind, 'passed')
})
