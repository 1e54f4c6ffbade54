/** The descriptor table, as the operating system reports it. A process of its own, since the table never shrinks. */
import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import test from 'ava'

const run = promisify(execFile)
const descriptors = new URL('../src/descriptors.js', import.meta.url).href

/** Grows the table of a new process, and returns what it reports: size, result, and descriptors that stay open. */
async function grow (prefix: string): Promise<Record<'before' | 'after' | 'reached' | 'left', number>> {
  const script = `
    import { readFileSync, readdirSync } from 'node:fs'
    import { growDescriptorTable } from '${descriptors}'
    const size = () => Number(/FDSize:\\s+(\\d+)/.exec(readFileSync('/proc/self/status', 'utf8'))[1])
    const count = () => readdirSync('/proc/self/fd').length
    const [before, open] = [size(), count()]
    const reached = await growDescriptorTable()
    console.log(JSON.stringify({ before, after: size(), reached, left: count() - open }))`
  const { stdout } = await run('sh', ['-c', `${prefix} exec "$0" --input-type=module -e "$1"`, process.execPath, script])
  return JSON.parse(stdout) as Record<'before' | 'after' | 'reached' | 'left', number>
}

// Guards against this failure: the event loop stood still for up to a second while the table grew under load.
test('the descriptor table is grown, and no descriptor stays open', async t => {
  const { before, after, reached, left } = await grow('')
  t.true(before <= 256, String(before))
  t.deepEqual([after, reached, left], [2048, 2048, 0])
})

test('a process that may open fewer descriptors grows the table as far as it may', async t => {
  const { after, reached, left } = await grow('ulimit -n 600;')
  t.deepEqual([after, reached, left], [1024, 1024, 0])
})
