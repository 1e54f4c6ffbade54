/** Gateways of builds that recognize whole requests only, and those that recognize parts, serve one site together. */
import test from 'ava'
import { unnamedRequest, type InterruptedRequest } from '@eiderwind/crashes'
import { decode, encode, type Heartbeat } from '../src/heartbeat.js'

const base: Heartbeat = { id: 'g1', revision: 1, canPlan: true, inFlight: {}, suspects: [], offeredByModel: {}, served: true, loads: {} }
const named: InterruptedRequest = { request: 'aa11', parts: ['small/bad'], team: '@one', beginning: true, trial: true }
const running: InterruptedRequest = { request: 'bb22', parts: [], team: '@one', beginning: false, trial: false }
const plain = unnamedRequest('cc33')

test('an older build reads the fingerprints of the interrupted requests, the cleared names and the trials', t => {
  const text = encode({ ...base, crashes: [{ upstream: 'u', age: 10, requests: [named, running, plain] }], cleared: ['dd44'], clearances: { dd44: 5 }, trials: { u: 'aa11' }, trialNames: { u: ['small/bad'] } })
  const datagram = JSON.parse(text) as Record<string, unknown>
  const [{ named: _named, ...crash }] = datagram.crashes as Array<Record<string, unknown>>
  t.deepEqual(crash, { upstream: 'u', age: 10, requests: ['aa11', 'bb22', 'cc33'] })
  t.deepEqual(datagram.cleared, ['dd44'])
  t.deepEqual(datagram.trials, { u: 'aa11' })
  t.deepEqual(datagram.tried, { u: ['small/bad'] })
})

test('a crash arrives as it was reported', t => {
  const heartbeat: Heartbeat = { ...base, crashes: [{ upstream: 'u', age: 10, requests: [named, running, plain] }], clearances: { 'small/first': 5 } }
  t.deepEqual(decode(Buffer.from(encode(heartbeat))), heartbeat)
})

test('the crash of an older build names fingerprints only', t => {
  const text = JSON.stringify({ id: 'g1', revision: 1, able: true, loads: {}, suspects: [], models: {}, served: true, crashes: [{ upstream: 'u', age: 10, requests: ['aa11'] }], cleared: ['dd44'], trials: { u: 'aa11' } })
  t.deepEqual(decode(Buffer.from(text)), { ...base, crashes: [{ upstream: 'u', age: 10, requests: [unnamedRequest('aa11')] }], cleared: ['dd44'], trials: { u: 'aa11' } })
})
