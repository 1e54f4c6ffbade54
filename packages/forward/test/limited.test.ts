/**
 * A plain request that found its only upstream limited was answered as if the upstream were gone, with 503, where the gateway that issues the tokens had not answered in
 * time, its word on the next token had just passed, or the token came as the wait was over.
 */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { InFlight, Rests } from '@eiderwind/detect'
import { Intake, Queue } from '@eiderwind/dispatch'
import { Issuer, Limits, Tokens, type TokenMessage } from '@eiderwind/limits'
import { PlainPath, type Context } from '../src/index.js'
import { callerRequest } from './requests.js'

interface Limited {
  /** How another gateway, which issues the tokens, answers an ask. Absent: this gateway issues them. */
  readonly answer?: (tokens: Tokens, asked: TokenMessage) => void
  /** Requests a second that the upstream takes. */
  readonly limit?: number
  /** For how long the process stands still while the request waits, in ms. */
  readonly standing?: number
}

/** What a plain request gets at a gateway whose only upstream names a limit. */
async function refused ({ answer, limit = 2, standing = 0 }: Limited): Promise<{ status: number, retryAfter: unknown, asked: number }> {
  const clock = new ManualClock()
  const limits = new Limits(clock)
  const sent: TokenMessage[] = []
  const issuer = new Issuer({ clock, rate: id => limits.rate(id), begin: () => 0, deliver: (_to, reply) => { tokens.answered(reply) } })
  const queue = new Queue(clock)
  const tokens: Tokens = new Tokens({ clock, limits, issuer, owner: () => answer === undefined ? undefined : 'g2', post: (_gateway, message) => { sent.push(message) }, unanswered: () => queue.wake(), random: () => 0 })
  const intake = new Intake({ clock, rests: new Rests({ clock, begun: () => {}, ended: () => {} }), tokens })
  limits.named('u', limit)
  const request = callerRequest(clock, { kind: 'once', resumable: false })
  const context = {
    clock,
    intake,
    queue,
    inFlight: new InFlight(clock, () => {}),
    crashes: { standing: () => 'trusted', underTrial: new Set<string>() },
    roster: { available: () => [{ id: 'u' }] },
    choice: { plain: () => undefined },
    names: { request: 'id' },
    random: () => 0
  } as unknown as Context
  const served = new PlainPath(context, request).serve()
  for (const message of sent.filter(each => each.token === 'ask')) answer?.(tokens, message)
  queue.wake()
  await new Promise(resolve => setImmediate(resolve))
  clock.freeze(standing)
  clock.advance(200)
  await served
  return { status: request.response.statusCode, retryAfter: request.response.getHeader('retry-after'), asked: sent.filter(each => each.token === 'ask').length }
}

test('where the gateway that issues the tokens does not answer, the caller is told to come back later', async t => {
  t.deepEqual(await refused({ answer: () => {} }), { status: 429, retryAfter: 0.9, asked: 1 })
})

test('where it promised a token that did not come, likewise', async t => {
  const promise = (tokens: Tokens, asked: TokenMessage): void => { if ('number' in asked) tokens.answered({ token: 'later', number: asked.number, due: 20 }) }
  t.deepEqual(await refused({ answer: promise }), { status: 429, retryAfter: 0.9, asked: 1 })
})

test('where the next token comes after the wait, the caller is told when, at once', async t => {
  const refuse = (tokens: Tokens, asked: TokenMessage): void => { if ('number' in asked) tokens.answered({ token: 'later', number: asked.number, due: 700 }) }
  const { status, retryAfter, asked } = await refused({ answer: refuse })
  t.is(status, 429)
  t.is(asked, 1)
  t.is(retryAfter, 0.7)
})

test('where the process stands still until the token is there and the wait is over, the caller is told to come back later', async t => {
  t.deepEqual(await refused({ limit: 25, standing: 100 }), { status: 429, retryAfter: 0.9, asked: 0 })
})
