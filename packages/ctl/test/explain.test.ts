/** The related lines and the cause of a failed request, from logs alone. */
import test from 'ava'
import { explain, readLine } from '../src/explain.js'

const lines = [
  ' 1.0 front-1 {"time":"2026-12-02T10:00:01.000Z","event":420,"name":"upstream-suspected","node":"entry-1","upstream":"i-1","flights":3}',
  '{"time":"2026-12-02T10:00:01.500Z","event":442,"name":"replica-decided","node":"entry-2","domain":"d","note":"d.4 of large dissolved: i-9 missing, head i-1","epoch":5}',
  '{"time":"2026-12-02T10:00:01.600Z","event":411,"name":"request-ended","node":"entry-1","request":"r1","outcome":"cut","took":900,"attempts":"i-1 lost (the upstream stands still) after event 4 at 500 ms; i-2 lost (reset) after event 9 at 900 ms"}',
  '{"time":"2026-12-02T10:00:02.000Z","event":410,"name":"request-refused","node":"entry-1","request":"r2","code":"behind","status":503,"confirmed":4100}',
  '{"time":"2026-12-02T10:00:03.000Z","event":411,"name":"request-ended","node":"entry-2","request":"r3","outcome":"busy 429","took":66,"attempts":""}',
  'not a line',
  '{"time":"2026-12-02T09:00:00.000Z","event":420,"name":"upstream-suspected","node":"entry-1","upstream":"i-2"}'
].map(readLine).filter(each => each !== undefined)

test('a stream that broke off is explained by its attempts, the suspected upstream and the planner\'s decision', t => {
  const { story, cause } = explain(lines, 'r1')
  t.deepEqual(story.map(each => each.name), ['upstream-suspected', 'replica-decided', 'request-ended'])
  t.regex(cause, /Gateway entry-1 had it for 900 ms: its stream broke off/)
  t.regex(cause, /i-1 stalled/)
  t.regex(cause, /d\.4 of large dissolved: i-9 missing/)
})

test('a refusal is explained by its reason and the age of the gateway\'s configuration', t => {
  t.regex(explain(lines, 'r2').cause, /refused it with 503: the gateway had no configuration that was confirmed recently enough \(its configuration was confirmed 4100 ms before\)/)
})

test('a request that was refused under load is reported as not run', t => {
  t.regex(explain(lines, 'r3').cause, /every replica of its model was full.*it did not run\. Attempts: none\./)
})

test('a request that was refused under load is explained by the rule that preferred other requests', t => {
  const line = readLine('{"time":"2026-12-02T10:00:03.000Z","event":411,"name":"request-ended","node":"entry-2","request":"r4","outcome":"busy 429","took":66,"attempts":"","rule":"team above its share"}')
  if (line === undefined) throw new Error('not a line')
  t.regex(explain([line], 'r4').cause, /What was ahead of it: requests of other teams, because its own team was recently served more than its share/)
})

test('a request that was refused because upstreams rest names these upstreams and the end of their rest', t => {
  const rests = [
    '{"time":"2026-12-02T10:00:02.500Z","event":422,"name":"upstream-resting","node":"entry-2","upstream":"i-3","rest":3000}',
    '{"time":"2026-12-02T10:00:02.500Z","event":422,"name":"upstream-resting","node":"entry-1","upstream":"i-4","rest":3000}',
    '{"time":"2026-12-02T10:00:02.500Z","event":422,"name":"upstream-resting","node":"entry-2","upstream":"i-5","rest":400}'
  ].map(readLine).filter(each => each !== undefined)
  const { cause } = explain([...lines, ...rests], 'r3')
  t.regex(cause, /the upstream i-3 asked for rest until 2026-12-02T10:00:05\.500Z/)
  t.notRegex(cause, /i-4|i-5/)
})

test('a request that was refused because limits were used up names the upstreams with a limit, however old it is, unless it was lifted', t => {
  const limits = [
    '{"time":"2026-12-02T09:00:02.500Z","event":424,"name":"upstream-limited","node":"entry-2","upstream":"i-3"}',
    '{"time":"2026-12-02T09:00:01.500Z","event":424,"name":"upstream-limited","node":"entry-2","upstream":"i-3","limit":9}',
    '{"time":"2026-12-02T08:00:00.000Z","event":424,"name":"upstream-limited","node":"entry-2","upstream":"i-4","limit":3}',
    '{"time":"2026-12-02T08:30:00.000Z","event":424,"name":"upstream-limited","node":"entry-2","upstream":"i-4","limit":1.6,"from":"entry-1"}',
    '{"time":"2026-12-02T08:30:00.000Z","event":424,"name":"upstream-limited","node":"entry-1","upstream":"i-5","limit":1.6}',
    '{"time":"2026-12-02T11:30:00.000Z","event":424,"name":"upstream-limited","node":"entry-2","upstream":"i-6","limit":1.6}'
  ].map(readLine).filter(each => each !== undefined)
  const { cause } = explain([...lines, ...limits], 'r3')
  t.regex(cause, /i-4 had announced a limit of 1\.6 requests per second/)
  t.notRegex(cause, /i-3|i-5|i-6/)
})

test('a request that was refused while data centres were evacuated names them, unless the evacuation had ended or only another gateway logged it', t => {
  const evacuations = [
    '{"time":"2026-12-02T08:00:00.000Z","event":425,"name":"evacuation-begun","node":"entry-2","dataCentre":"dc-1"}',
    '{"time":"2026-12-02T08:00:00.000Z","event":425,"name":"evacuation-begun","node":"entry-2","dataCentre":"dc-2","from":"entry-1"}',
    '{"time":"2026-12-02T08:30:00.000Z","event":426,"name":"evacuation-ended","node":"entry-2","dataCentre":"dc-2"}',
    '{"time":"2026-12-02T08:00:00.000Z","event":425,"name":"evacuation-begun","node":"entry-1","dataCentre":"dc-3"}',
    '{"time":"2026-12-02T11:30:00.000Z","event":425,"name":"evacuation-begun","node":"entry-2","dataCentre":"dc-4"}'
  ].map(readLine).filter(each => each !== undefined)
  const { cause } = explain([...lines, ...evacuations], 'r3')
  t.regex(cause, /the data centre dc-1 was evacuated/)
  t.notRegex(cause, /dc-2|dc-3|dc-4/)
  t.is(explain(evacuations, 'dc-2').story.length, 2)
})

test('an upstream and a replica are explained too, and an unknown id is reported as unknown', t => {
  t.is(explain(lines, 'i-2').story.length, 1)
  t.is(explain(lines, 'd.4').story.length, 1)
  t.regex(explain(lines, 'nobody').cause, /No line names nobody/)
})

test('a stream that broke off names the order that closed its replica, with its reason and evidence', t => {
  const order = readLine('{"time":"2026-12-02T10:00:01.550Z","event":443,"name":"engine-order","node":"entry-2","kind":"close","upstream":"i-1","replica":"d.4","epoch":4,"manner":"cut","reason":"i-9 missing","evidence":"i-9 1 probes unanswered in 612 ms","streams":7,"silence":980,"result":"taken","took":5}')
  if (order === undefined) throw new Error('not a line')
  t.regex(explain([...lines, order], 'r1').cause, /the planner closed d\.4 at i-1, cutting 7 requests in flight, 980 ms after the last data from it: i-9 missing \(i-9 1 probes unanswered in 612 ms\)/)
})

// Guards against attempts that the command takes for lost ones, or whose upstreams it does not recognize.
test('a stream that kept its first attempt while it moved is explained by both attempts', t => {
  const attempts = 'i-2 cancelled (i-1 went on) after event 5 at 700 ms; i-1 lost (other side closed, went on after a move: the upstream stalled) after event 9 at 900 ms'
  const both = [
    '{"time":"2026-12-02T10:00:01.000Z","event":420,"name":"upstream-suspected","node":"entry-2","upstream":"i-1","flights":3}',
    '{"time":"2026-12-02T10:00:01.100Z","event":420,"name":"upstream-suspected","node":"entry-2","upstream":"i-3","flights":3}',
    `{"time":"2026-12-02T10:00:01.600Z","event":411,"name":"request-ended","node":"entry-1","request":"r1","outcome":"cut","took":900,"attempts":"${attempts}"}`
  ].map(readLine).filter(each => each !== undefined)
  const { story, cause } = explain(both, 'r1')
  t.deepEqual(story.map(each => each.upstream), ['i-1', undefined])
  t.true(cause.includes(attempts))
  t.regex(cause, /i-1 stalled/)
})
