/**
 * Which requests are retried, case by case. The expected outcomes are those of the plain and the stream path before
 * they shared one rule.
 */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { InFlight, Rests } from '@eiderwind/detect'
import { Availability, Queue, type AttemptResult, type RetryBudget } from '@eiderwind/dispatch'
import { type Route } from '@eiderwind/traffic'
import { type CallerRequest, type Context } from '../src/index.js'
import { Path } from '../src/path.js'
import { callerRequest } from './requests.js'
import { ScriptedTarget, upstream } from './targets.js'

const routes = {
  repeatable: { kind: 'repeatable', resumable: false },
  'repeatable, resumable': { kind: 'repeatable', resumable: true },
  once: { kind: 'once', resumable: false },
  'once, resumable': { kind: 'once', resumable: true },
  stream: { kind: 'stream', resumable: false },
  'resumable stream': { kind: 'stream', resumable: true }
} as const

function answered (status: number): AttemptResult {
  return { kind: 'answered', status, headers: {}, body: Buffer.alloc(0) }
}

const results = {
  passed: { kind: 'passed' },
  200: answered(200),
  404: answered(404),
  499: answered(499),
  500: answered(500),
  503: answered(503),
  lost: { kind: 'lost', why: '' },
  'not run': { kind: 'not-run', why: '', sent: true },
  'not sent': { kind: 'not-run', why: '', sent: false }
} as const satisfies Record<string, AttemptResult>

/**
 * The expected decision by result, for each of `routes` in order, while attempts are left. `-`: the request ends. `b`:
 * it is retried from the budget. `f`: it is retried without using the budget.
 */
const expected: Record<keyof typeof results, string> = {
  passed: '------',
  200: '------',
  404: '------',
  499: '------',
  500: 'bb---b',
  503: 'bb---b',
  lost: 'bb---b',
  'not run': 'bbbbbb',
  'not sent': 'ffffff'
}

function requestAfter (sends: number, route: Pick<Route, 'kind' | 'resumable'>): CallerRequest {
  const request = callerRequest(new ManualClock(), route)
  for (let count = 0; count < sends; count++) request.beginAttempt(`earlier${count}`)
  return request
}

/** A context with a queue and a retry budget that counts its calls. */
function contextWithBudget (left: number): { context: Context, takes: () => number } {
  let count = 0
  const budget = {
    left,
    take: () => {
      count++
      return left > 0
    }
  }
  const crashes = { standing: () => 'trusted', underTrial: new Set<string>(), wasCrashedByOthers: () => false }
  const clock = new ManualClock()
  const rests = new Rests({ clock, begun: () => {}, ended: () => {} })
  const availability = new Availability({ clock, rests })
  const context = { clock, crashes, inFlight: new InFlight(clock, () => {}), availability, queue: new Queue(clock), retryBudget: () => budget as unknown as RetryBudget } as unknown as Context
  return { context, takes: () => count }
}

/** A path whose first attempt has the result `first`, and whose second attempt succeeds. */
class ScriptedPath extends Path {
  protected readonly lastEvent = undefined
  readonly kind: 'plain' | 'stream'
  readonly #first: AttemptResult
  attempts = 0

  constructor (context: Context, request: CallerRequest, kind: 'plain' | 'stream', first: AttemptResult) {
    const target = new ScriptedTarget(context, request)
    super(context, request, target)
    this.kind = kind
    this.#first = first
    target.find = () => upstream(`u${this.attempts}`)
  }

  protected async attempt (): Promise<AttemptResult> {
    if (this.attempts++ === 0) {
      // A real attempt counts itself. `endAttempt` reverts that if the attempt was never sent.
      this.request.beginAttempt('first')
      return this.#first
    }
    return { kind: 'passed' }
  }

  protected prefer (_before: AttemptResult | undefined, latest: AttemptResult): AttemptResult {
    return latest
  }

  protected override conclude (): void {}
}

for (const kind of ['plain', 'stream'] as const) {
  test(`a ${kind} request is retried, or not, as the table says for its route, result, attempts left and budget`, async t => {
    for (const [name, result] of Object.entries(results) as Array<[keyof typeof results, AttemptResult]>) {
      for (const [index, [routeKind, route]] of Object.entries(routes).entries()) {
        for (const attemptsLeft of [true, false]) {
          for (const budget of [1, 0]) {
            const { context, takes } = contextWithBudget(budget)
            const code = attemptsLeft ? expected[name][index] : '-'
            const label = `${name}, ${routeKind}, ${attemptsLeft ? 'attempts' : 'no attempts'} left, budget ${budget}`
            const path = new ScriptedPath(context, requestAfter(sendsBefore(result, attemptsLeft), route), kind, result)
            await path.serve()
            t.is(path.attempts === 2, code === 'f' || (code === 'b' && budget > 0), label)
            t.is(takes(), code === 'b' ? 1 : 0, label)
          }
        }
      }
    }
  })
}

/**
 * The number of counted attempts before the first one here, so that of three attempts some or none are left after it.
 */
function sendsBefore (result: AttemptResult, attemptsLeft: boolean): number {
  const counts = !(result.kind === 'not-run' && !result.sent)
  return (attemptsLeft ? 2 : 3) - Number(counts)
}
