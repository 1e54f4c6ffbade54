/** The report on late answers by route and second, from log lines. */
import test from 'ava'
import { readLine, type LogLine } from '../src/explain.js'
import { main } from '../src/index.js'
import { lateByRoute, lateBySecond } from '../src/late.js'

const log = [
  '{"time":"2026-12-02T10:00:02.100Z","event":411,"name":"request-ended","node":"e1","route":"help","outcome":"answered 200","waited":2,"first":410,"late":"first"}',
  '{"time":"2026-12-02T10:00:01.100Z","event":411,"name":"request-ended","node":"e1","route":"help","outcome":"answered","waited":300,"first":420,"late":"waiting"}',
  '{"time":"2026-12-02T10:00:01.200Z","event":411,"name":"request-ended","node":"e1","route":"help","outcome":"caller left","waited":1,"first":410,"late":"first"}',
  '{"time":"2026-12-02T10:00:01.300Z","event":411,"name":"request-ended","node":"e2","route":"sum","outcome":"answered 200","first":80,"pause":900,"late":"resume"}',
  '{"time":"2026-12-02T10:00:01.400Z","event":411,"name":"request-ended","node":"e2","route":"sum","outcome":"answered 200","first":80}',
  '{"time":"2026-12-02T10:00:01.500Z","event":420,"name":"upstream-suspected","node":"e2","upstream":"u"}'
]
const lines = log.map(readLine).filter((each): each is LogLine => each !== undefined)
const late = { waiting: 0, attempts: 0, first: 0, resume: 0, pause: 0 }
const failed = { busy: 0, 'no-replica': 0, 'upstream-down': 0, lost: 0, cut: 0, deadline: 0, caller: 0, stalled: 0 }

test('late answers and failures are counted by route and by second; an incomplete answer that was late counts only as a failure', t => {
  t.deepEqual(lateByRoute(lines), [
    { of: 'help', late: { ...late, waiting: 1, first: 1 }, failed: { ...failed, caller: 1 } },
    { of: 'sum', late: { ...late, resume: 1 }, failed }
  ])
  t.deepEqual(lateBySecond(lines), [
    { of: '2026-12-02T10:00:01', late: { ...late, waiting: 1, resume: 1 }, failed: { ...failed, caller: 1 } },
    { of: '2026-12-02T10:00:02', late: { ...late, first: 1 }, failed }
  ])
})

test('a missing file ends `late` with the usage status and a message that asks for a path', async t => {
  const printed: string[] = []
  const status = await main(['node', 'eiderwindctl', 'late', 'missing.log'], { out: line => printed.push(line), error: line => printed.push(line) })
  t.is(status, 2)
  t.deepEqual(printed, ['missing.log cannot be read (ENOENT). Give the path of a log.'])
})
