/** Retries that wait for room, against the retry budget of their service. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { InFlight, Rests } from '@eiderwind/detect'
import { Availability, Queue, type AttemptResult } from '@eiderwind/dispatch'
import { type CallerRequest, type Context } from '../src/index.js'
import { Path } from '../src/path.js'
import { soleBudget } from './budgets.js'
import { callerRequest } from './requests.js'
import { ScriptedTarget, upstream } from './targets.js'

const slack = 40
/** In ms. */
const window = 2000

/** A stream whose first attempt is refused by its upstream. It finds a second upstream once there is room. */
class RefusedPath extends Path {
  protected readonly kind = 'stream'
  protected readonly lastEvent = undefined
  readonly #sent: () => void
  #attempts = 0

  constructor (context: Context, request: CallerRequest, hasRoom: () => boolean, sent: () => void) {
    const target = new ScriptedTarget(context, request)
    super(context, request, target)
    this.#sent = sent
    target.find = () => this.#attempts === 0 || hasRoom() ? upstream(`u${this.#attempts}`) : undefined
  }

  protected async attempt (): Promise<AttemptResult> {
    this.request.beginAttempt(`u${this.#attempts}`)
    if (this.#attempts++ === 0) return { kind: 'not-run', why: 'the upstream answered 503', sent: true }
    this.#sent()
    return { kind: 'passed' }
  }

  protected prefer (_before: AttemptResult | undefined, latest: AttemptResult): AttemptResult {
    return latest
  }

  protected override conclude (): void {}
}

// Guards against retries that are charged when they are granted and sent in a later window, after a wait for room.
test('retries that wait for room count in the window in which they are sent', async t => {
  const clock = new ManualClock()
  const budget = soleBudget(clock, slack, window)
  const queue = new Queue(clock)
  const rests = new Rests({ clock, begun: () => {}, ended: () => {} })
  const context = {
    clock,
    crashes: { standing: () => 'trusted', underTrial: new Set<string>(), wasCrashedByOthers: () => false },
    inFlight: new InFlight(clock, () => {}),
    availability: new Availability({ clock, rests }),
    queue,
    retryBudget: () => budget
  } as unknown as Context
  let hasRoom = false
  const sent: number[] = []
  const begin = async (): Promise<void> => {
    const request = callerRequest(clock, { kind: 'stream', resumable: true, arrivedAt: clock.now() })
    await new RefusedPath(context, request, () => hasRoom, () => sent.push(clock.now())).serve()
  }
  clock.advance(2 * window)
  const first = Array.from({ length: 60 }, begin)
  await settle()
  clock.advance(900)
  hasRoom = true
  queue.wake()
  await Promise.all(first)
  clock.advance(1400)
  const second = Array.from({ length: 60 }, begin)
  await Promise.all(second)
  const counts = sent.map(from => sent.filter(each => each >= from && each < from + window).length)
  t.true(sent.length > 0)
  t.true(Math.max(...counts) <= slack, `${Math.max(...counts)} in ${window} ms`)
})

async function settle (): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await Promise.resolve()
}
