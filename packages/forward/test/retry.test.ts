/** Whether a request is sent again, case by case, with the outcomes of both paths as they were before they shared one rule. */
import { IncomingMessage, ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { type RetryBudget } from '@eiderwind/dispatch'
import { type Route } from '@eiderwind/traffic'
import { CallerRequest, type Context } from '../src/index.js'
import { type Ending } from '../src/attempt.js'
import { again as plainAgain } from '../src/plain.js'
import { again as streamAgain } from '../src/stream.js'

const routes = {
  repeatable: { kind: 'repeatable', resumable: false },
  'repeatable, resumable': { kind: 'repeatable', resumable: true },
  once: { kind: 'once', resumable: false },
  'once, resumable': { kind: 'once', resumable: true },
  stream: { kind: 'stream', resumable: false },
  'resumable stream': { kind: 'stream', resumable: true }
} as const

function answered (status: number): Ending {
  return { kind: 'answered', status, headers: {}, body: Buffer.alloc(0) }
}

const endings = {
  passed: { kind: 'passed' },
  200: answered(200),
  404: answered(404),
  499: answered(499),
  500: answered(500),
  503: answered(503),
  lost: { kind: 'lost', why: '' },
  'not run': { kind: 'not-run', why: '', sent: true },
  'not sent': { kind: 'not-run', why: '', sent: false }
} as const satisfies Record<string, Ending>

/** By ending, for each of `routes` in its order while attempts are left: `-` ends, `b` takes from the budget, `f` is sent again without it. */
const expected: Record<keyof typeof endings, string> = {
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

function callerRequest (route: { kind: Route['kind'], resumable: boolean }, attemptsLeft: boolean): CallerRequest {
  const message = new IncomingMessage(new Socket())
  const request = new CallerRequest({
    clock: new ManualClock(),
    id: 'r1',
    request: message,
    response: new ServerResponse(message),
    body: undefined,
    route: { name: 'x', host: 'h', prefix: '/', timeout: 1000, objective: 200, gap: 200, priority: 1, attempts: 3, open: true, shares: [{ service: 's', weight: 1 }], ...route },
    service: 's',
    team: undefined,
    arrivedAt: 0,
    endsAt: 1000,
    idName: 'id',
    ended: () => {}
  })
  request.sends = attemptsLeft ? 2 : 3
  return request
}

/** A context whose only part is a retry budget that counts how often it was asked. */
function counted (left: number): { context: Context, asked: () => number } {
  let asked = 0
  const budget = {
    left,
    take: () => {
      asked++
      return left > 0
    }
  }
  return { context: { retryBudget: () => budget as unknown as RetryBudget } as unknown as Context, asked: () => asked }
}

for (const [path, again] of Object.entries({ plain: plainAgain, stream: streamAgain })) {
  test(`whether a ${path} request is sent again, and what that takes from the budget`, t => {
    for (const [name, ending] of Object.entries(endings) as Array<[keyof typeof endings, Ending]>) {
      for (const [index, [kind, route]] of Object.entries(routes).entries()) {
        for (const attemptsLeft of [true, false]) {
          for (const budget of [1, 0]) {
            const { context, asked } = counted(budget)
            const code = attemptsLeft ? expected[name][index] : '-'
            const label = `${name}, ${kind}, ${attemptsLeft ? 'attempts' : 'no attempts'} left, budget ${budget}`
            t.is(again(context, callerRequest(route, attemptsLeft), ending), code === 'f' || (code === 'b' && budget > 0), label)
            t.is(asked(), code === 'b' ? 1 : 0, label)
          }
        }
      }
    }
  })
}
