/**
 * Numbers, names and levels of events, and names and kinds of metrics, must not change: operators' tools rely on them.
 */
import test from 'ava'
import { events, metrics } from '../src/index.js'

const listedEvents = [
  '100 started info',
  '101 stopping info',
  '102 stopped info',
  '103 settings-refused error',
  '104 crashed error',
  '105 controller-failed warn',
  '106 process-paused warn',
  '107 loop-delayed warn',
  '108 callers-closed info',
  '109 uncaught-error error',
  '110 task-failed error',
  '111 port-in-use warn',
  '200 store-lost warn',
  '201 store-back info',
  '202 configuration-new info',
  '203 configuration-changed info',
  '204 placement-changed info',
  '205 placement-lost-race debug',
  '206 peer-lost warn',
  '207 entry-behind warn',
  '208 entry-current info',
  '300 replica-serving info',
  '301 replica-lapsed warn',
  '302 grant-refused debug',
  '303 home-held info',
  '304 home-lost warn',
  '305 engine-down warn',
  '306 engine-back info',
  '307 engine-ordered info',
  '308 order-failed warn',
  '309 home-inherits info',
  '310 sessions-handed info',
  '400 attempt-failed info',
  '401 stream-resumed info',
  '402 answer-foreign warn',
  '403 caller-gone debug',
  '410 request-refused info',
  '411 request-ended info',
  '412 request-failed error',
  '413 request-blocked warn',
  '414 caller-stalled warn',
  '415 block-lifted info',
  '420 upstream-suspected warn',
  '421 upstream-crashed warn',
  '422 upstream-resting info',
  '423 upstream-leaving info',
  '424 upstream-limited info',
  '425 evacuation-begun warn',
  '426 evacuation-ended info',
  '427 upstream-cold info',
  '428 room-contended info',
  '429 gateway-strained warn',
  '430 configuration-unconfirmed warn',
  '431 configuration-confirmed info',
  '432 connections-closed warn',
  '433 retry-budget-spent warn',
  '434 upstream-departed info',
  '435 upstream-retained info',
  '436 upstreams-old warn',
  '440 planner-acts info',
  '441 planner-rests info',
  '442 replica-decided info',
  '443 engine-order info',
  '444 engines-surveyed info',
  '445 store-use info',
  '446 engine-unlisted info',
  '447 engine-unlisted-ended info',
  '450 lines-dropped warn'
]

const listedMetrics = [
  'request.count counter',
  'request.first_byte_ms timing',
  'request.total_ms timing',
  'request.retry counter',
  'request.resumed counter',
  'request.unknown counter',
  'answer.foreign counter',
  'stream.open gauge',
  'admission.running gauge',
  'admission.queued gauge',
  'admission.refused counter',
  'replica.serving gauge',
  'configuration.revision gauge'
]

test('every event keeps its number, name and level', t => {
  t.deepEqual(Object.entries(events).map(([name, { number, level }]) => `${number} ${name} ${level}`), listedEvents)
})

test('every metric keeps its name and kind', t => {
  t.deepEqual(Object.entries(metrics).map(([name, { kind }]) => `${name} ${kind}`), listedMetrics)
})
