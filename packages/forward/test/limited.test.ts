/**
 * A plain request whose only upstream is limited must get a 429, not the 503 of a missing upstream. It got the 503 in
 * three cases: the gateway that issues the tokens did not answer in time, the announced time of the next token had just
 * passed, or the token arrived just as the wait ended.
 */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { InFlight, Rests } from '@eiderwind/detect'
import { Availability, Queue } from '@eiderwind/dispatch'
import { Issuer, Limits, TokenClient, type TokenMessage } from '@eiderwind/limits'
import { PlainPath, type Context } from '../src/index.js'
import { callerRequest } from './requests.js'

interface LimitedOptions {
  /** Plays the gateway that issues the tokens and receives each token request. Absent: this gateway issues them. */
  readonly answer?: (tokens: TokenClient, request: TokenMessage) => void
  /** Limit of the upstream, in requests per second. */
  readonly limit?: number
  /** Time for which the process is frozen while the request waits, in ms. */
  readonly frozenMs?: number
}

/** The answer to a plain request at a gateway whose only upstream has a limit. */
async function refusalOf ({ answer, limit = 2, frozenMs = 0 }: LimitedOptions): Promise<{ status: number, retryAfter: unknown, tokenRequests: number }> {
  const clock = new ManualClock()
  const limits = new Limits(clock)
  const sent: TokenMessage[] = []
  const issuer = new Issuer({ clock, rate: id => limits.rate(id), begin: () => 0, deliver: (_to, reply) => { tokens.handleReply(reply) } })
  const queue = new Queue(clock)
  const tokens: TokenClient = new TokenClient({ clock, limits, issuer, owner: () => answer === undefined ? undefined : 'g2', post: (_gateway, message) => { sent.push(message) }, unanswered: () => queue.wake(), random: () => 0 })
  const availability = new Availability({ clock, rests: new Rests({ clock, begun: () => {}, ended: () => {} }), tokens })
  limits.recordAnswer('u', limit)
  const request = callerRequest(clock, { kind: 'once', resumable: false })
  const context = {
    clock,
    availability,
    queue,
    inFlight: new InFlight(clock, () => {}),
    crashes: { standing: () => 'trusted', underTrial: new Set<string>(), wasCrashedByOthers: () => false },
    roster: { available: () => [{ id: 'u' }] },
    choice: { plain: () => undefined },
    names: { request: 'id' },
    random: () => 0
  } as unknown as Context
  const served = new PlainPath(context, request, { model: '', engine: undefined }).serve()
  for (const message of sent.filter(each => each.token === 'ask')) answer?.(tokens, message)
  queue.wake()
  await new Promise(resolve => setImmediate(resolve))
  clock.freeze(frozenMs)
  clock.advance(200)
  await served
  return { status: request.response.statusCode, retryAfter: request.response.getHeader('retry-after'), tokenRequests: sent.filter(each => each.token === 'ask').length }
}

test('a request is refused with 429 and a Retry-After if the gateway that issues the tokens does not answer', async t => {
  t.deepEqual(await refusalOf({ answer: () => {} }), { status: 429, retryAfter: 0.9, tokenRequests: 1 })
})

test('a request is refused with 429 and a Retry-After if an announced token does not arrive', async t => {
  const promise = (tokens: TokenClient, request: TokenMessage): void => { if ('number' in request) tokens.handleReply({ token: 'later', number: request.number, due: 20 }) }
  t.deepEqual(await refusalOf({ answer: promise }), { status: 429, retryAfter: 0.9, tokenRequests: 1 })
})

test('a request is refused at once, with the time of the next token as Retry-After, if that token comes after the maximum wait', async t => {
  const refuse = (tokens: TokenClient, request: TokenMessage): void => { if ('number' in request) tokens.handleReply({ token: 'later', number: request.number, due: 700 }) }
  const { status, retryAfter, tokenRequests } = await refusalOf({ answer: refuse })
  t.is(status, 429)
  t.is(tokenRequests, 1)
  t.is(retryAfter, 0.7)
})

test('a request is refused with 429 and a Retry-After if the process is frozen until the token is due and the wait has ended', async t => {
  t.deepEqual(await refusalOf({ limit: 25, frozenMs: 100 }), { status: 429, retryAfter: 0.9, tokenRequests: 0 })
})
