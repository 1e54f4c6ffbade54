/** How a process ends: by a signal, or by an error that nothing handles. */
import { spawnSync } from 'node:child_process'
import test from 'ava'

const life = new URL('../src/index.js', import.meta.url).href
const log = new URL('../../../log/dist/src/index.js', import.meta.url).href

/** A line of the log. */
interface Line {
  readonly name?: string
  readonly level?: string
  readonly cause?: string
}

/** How a process ended, and its log. */
interface Ending {
  readonly status: number | null
  readonly lines: readonly Line[]
}

/**
 * The code of a daemon's methods. `log` and `pause(ms)` are in scope. `stop` pauses after a line: the log may write one
 * that is under way when the process exits after the last one.
 */
interface DaemonCode {
  readonly start?: string
  readonly stop?: string
}

/** Runs a daemon as a process of its own. Its log is standard output. */
function runDaemon ({ start = '', stop = '' }: DaemonCode): Ending {
  const program = `
    import { run } from '${life}'
    import { LineWriter, Log } from '${log}'
    const out = new LineWriter({ now: () => performance.now() })
    const log = new Log({ sink: out.sink })
    const pause = time => new Promise(resolve => setTimeout(resolve, time))
    // Keeps the process alive, as its server does.
    setInterval(() => {}, 1000)
    const status = await run({
      log,
      maxStopTime: 400,
      start: async () => { ${start}; return {} },
      stop: async () => { ${stop} }
    })
    out.end()
    process.exit(status)`
  const { status, stdout } = spawnSync(process.execPath, ['--input-type=module', '-e', program], { encoding: 'utf8', timeout: 10_000, killSignal: 'SIGKILL' })
  return { status, lines: stdout.trim().split('\n').map(each => JSON.parse(each) as Line) }
}

const throwInTimer = "setTimeout(() => { throw new Error('thrown in a timer') }, 20)"

// Guards against: a process that ends by an error leaves no line in its log, and ends with its requests (FAULT, LOST).
test('an error that reaches the event loop is logged with its stack, and the process drains and ends with status 1', t => {
  const { status, lines } = runDaemon({ start: throwInTimer, stop: "await pause(100); log.write('callers-closed'); await pause(50)" })
  t.deepEqual(lines.map(each => each.name), ['started', 'uncaught-error', 'stopping', 'callers-closed', 'stopped'])
  t.like(lines[1], { level: 'error' })
  t.regex(lines[1].cause ?? '', /^Error: thrown in a timer\n {4}at /)
  t.is(status, 1)
})

// Guards against: the same for a promise that nothing awaits.
test('a rejection that nothing handles is logged with its stack, and the process drains', t => {
  const { status, lines } = runDaemon({ start: "Promise.reject(new Error('rejected'))", stop: 'await pause(50)' })
  t.deepEqual(lines.map(each => each.name), ['started', 'uncaught-error', 'stopping', 'stopped'])
  t.regex(lines[1].cause ?? '', /^Error: rejected\n {4}at /)
  t.is(status, 1)
})

// Guards against: a second error cuts the requests that the drain would have finished (LOST).
test('a second error while the process drains is logged, and the drain goes on', t => {
  const { status, lines } = runDaemon({ start: throwInTimer, stop: `${throwInTimer}; await pause(100)` })
  t.deepEqual(lines.map(each => each.name), ['started', 'uncaught-error', 'stopping', 'uncaught-error', 'stopped'])
  t.is(status, 1)
})

// Guards against: an error during a planned stop cuts its drain (LOST).
test('an error while the process drains at a signal is logged, and the drain goes on', t => {
  const { status, lines } = runDaemon({ start: "setTimeout(() => process.kill(process.pid, 'SIGTERM'), 50)", stop: `${throwInTimer}; await pause(100)` })
  t.deepEqual(lines.map(each => each.name), ['started', 'stopping', 'uncaught-error', 'stopped'])
  t.is(status, 1)
})

// Guards against: a process whose drain hangs after an error serves nobody, and nobody ends it.
test('a drain that does not end after an error is given up in time', t => {
  const { status, lines } = runDaemon({ start: throwInTimer, stop: 'await pause(60_000)' })
  t.deepEqual(lines.map(each => each.name), ['started', 'uncaught-error', 'stopping', 'uncaught-error'])
  t.regex(lines[3].cause ?? '', /The drain has not ended within 400 ms/)
  t.is(status, 1)
})

// Guards against: a process that cannot drain stays, or ends without a line.
test('a drain that fails is logged with its stack, and the process ends with status 1', t => {
  const { status, lines } = runDaemon({ start: "setTimeout(() => process.kill(process.pid, 'SIGTERM'), 20)", stop: "await pause(50); throw new Error('cannot drain')" })
  t.deepEqual(lines.map(each => each.name), ['started', 'stopping', 'uncaught-error'])
  t.regex(lines[2].cause ?? '', /^Error: cannot drain\n {4}at /)
  t.is(status, 1)
})

// Guards against: a process that cannot start waits for a drain.
test('an error during the start ends the process at once', t => {
  const { status, lines } = runDaemon({ start: `${throwInTimer}; await pause(60_000)`, stop: 'await pause(60_000)' })
  t.deepEqual(lines.map(each => each.name), ['uncaught-error'])
  t.is(status, 1)
})
