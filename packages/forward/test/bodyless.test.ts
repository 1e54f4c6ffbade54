/** The length of answers that have no body, which is that of the body that another method or condition would get. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { sendAnswer } from '../src/answers.js'
import { callerRequest } from './requests.js'

/** The `content-length` that the caller gets. */
function forwardedLength (method: string, answeredStatus: number, length: string): unknown {
  const request = callerRequest(new ManualClock(), { kind: 'repeatable', resumable: false })
  request.incoming.method = method
  const { response } = request
  Object.assign(response, { req: request.incoming })
  const writeHead = response.writeHead.bind(response) as (status: number, headers: Record<string, string>) => typeof response
  let forwarded: unknown
  response.writeHead = ((status: number, headers: Record<string, string>) => {
    forwarded = headers['content-length']
    return writeHead(status, headers)
  }) as typeof response.writeHead
  sendAnswer(request, { kind: 'answered', status: answeredStatus, headers: { 'content-length': length }, body: Buffer.alloc(0) })
  return forwarded
}

// Guards against answers to HEAD, and of status 304, that report a length of 0 for a body that has another one.
test('an answer that has no body keeps the length that its upstream gave', t => {
  t.is(forwardedLength('HEAD', 200, '32'), '32')
  t.is(forwardedLength('GET', 304, '32'), '32')
})

test('an answer with a body has the length of the body', t => {
  t.is(forwardedLength('GET', 200, '0'), '0')
})
