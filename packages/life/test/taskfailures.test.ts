/** Errors that end one task: what is logged and counted. */
import { Log } from '@eiderwind/log'
import test from 'ava'
import { TaskFailures } from '../src/index.js'

function fail (): never {
  throw new Error('failed')
}

// Guards against: an error that a part throws ends its process with all requests, without a line (FAULT, LOST).
test('a task that throws is logged with its stack and counted, and what it was for is ended', t => {
  const lines: string[] = []
  const failures = new TaskFailures({ log: new Log({ sink: line => { lines.push(line) } }), now: () => 0 })
  let ended = 0
  failures.run('message', () => {}, () => { ended++ })
  t.is(ended, 0)
  failures.run('message', fail, () => { ended++ })
  t.is(ended, 1)
  t.is(failures.count, 1)
  t.like(JSON.parse(lines[0]), { event: 110, name: 'task-failed', level: 'error', task: 'message' })
  t.regex((JSON.parse(lines[0]) as { cause: string }).cause, /^Error: failed\n {4}at fail /)
})

// Guards against: a task that fails at each run fills the log, so that the line of another failure is dropped.
test('at most ten lines are written in ten seconds, and all failures are counted', t => {
  let now = 0
  let lines = 0
  const failures = new TaskFailures({ log: new Log({ sink: () => { lines++ } }), now: () => now })
  for (let count = 0; count < 100; count++) failures.run('timer', fail)
  t.is(lines, 10)
  now = 10_000
  failures.run('timer', fail)
  t.is(lines, 11)
  t.is(failures.count, 101)
})
