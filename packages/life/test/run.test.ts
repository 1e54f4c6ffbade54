/** How a process ends: by a signal, or by an error that nothing handles. */
import { spawnSync } from 'node:child_process'
import test from 'ava'

const life = new URL('../src/index.js', import.meta.url).href
const log = new URL('../../../log/dist/src/index.js', import.meta.url).href

/** Runs a daemon as a process of its own, which throws an error in a timer. Its log is standard output. */
function runThrowing (): { readonly status: number | null, readonly lines: string[] } {
  const program = `
    import { run } from '${life}'
    import { LineWriter, Log } from '${log}'
    const out = new LineWriter({ now: () => performance.now() })
    const status = await run({
      log: new Log({ sink: out.sink }),
      start: async () => {
        setTimeout(() => { throw new Error('thrown in a timer') }, 20)
        return {}
      },
      stop: async () => {}
    })
    out.end()
    process.exit(status)`
  const { status, stdout } = spawnSync(process.execPath, ['--input-type=module', '-e', program], { encoding: 'utf8' })
  return { status, lines: stdout.trim().split('\n') }
}

// Guards against: a process that ends by an error leaves no line in its log.
test('an error that reaches the event loop is logged with its stack before the process ends', t => {
  const { status, lines } = runThrowing()
  const last = JSON.parse(lines.at(-1) ?? '{}') as { name?: string, level?: string, cause?: string }
  t.like(last, { name: 'uncaught-error', level: 'error' })
  t.regex(last.cause ?? '', /^Error: thrown in a timer\n {4}at /)
  t.is(status, 1)
})
