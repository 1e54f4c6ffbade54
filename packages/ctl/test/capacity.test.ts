/** The capacity report by second, from log lines. */
import test from 'ava'
import { capacity } from '../src/capacity.js'
import { readLine, type LogLine } from '../src/explain.js'
import { main } from '../src/index.js'

const log = [
  '{"time":"2026-12-02T10:00:02.100Z","event":444,"name":"engines-surveyed","node":"e1","domain":"d2","serving":4,"loading":1}',
  '{"time":"2026-12-02T10:00:01.100Z","event":444,"name":"engines-surveyed","node":"e1","domain":"d1","serving":6,"idle":2}',
  '{"time":"2026-12-02T10:00:01.200Z","event":444,"name":"engines-surveyed","node":"e1","domain":"d2","serving":2,"broken":3,"missing":1}',
  '{"time":"2026-12-02T10:00:01.900Z","event":444,"name":"engines-surveyed","node":"e2","domain":"d2","serving":4}',
  '{"time":"2026-12-02T10:00:01.950Z","event":411,"name":"request-ended","node":"e1","outcome":"busy 429"}',
  '{"time":"2026-12-02T10:00:02.950Z","event":411,"name":"request-ended","node":"e1","outcome":"no-replica 503"}',
  '{"time":"2026-12-02T10:00:02.960Z","event":411,"name":"request-ended","node":"e1","outcome":"answered 200"}',
  'not a line of a log'
]
const lines = log.map(readLine).filter((each): each is LogLine => each !== undefined)
const none = { serving: 0, forming: 0, broken: 0, loading: 0, empty: 0, idle: 0, unlisted: 0, missing: 0, evacuated: 0 }

test('the row of a second sums the engines of all domains by state and counts the requests that found no room', t => {
  t.deepEqual(capacity(lines), [
    { time: '2026-12-02T10:00:01', engines: { ...none, serving: 10, idle: 2 }, refused: { busy: 1, 'no-replica': 0, 'upstream-down': 0 } },
    { time: '2026-12-02T10:00:02', engines: { ...none, serving: 4, loading: 1 }, refused: { busy: 0, 'no-replica': 1, 'upstream-down': 0 } }
  ])
})

test('a missing file ends `capacity` with the usage status and a message that asks for a path', async t => {
  const printed: string[] = []
  const status = await main(['node', 'eiderwindctl', 'capacity', 'missing.log'], { out: line => printed.push(line), error: line => printed.push(line) })
  t.is(status, 2)
  t.deepEqual(printed, ['missing.log cannot be read (ENOENT). Give the path of a log.'])
})
