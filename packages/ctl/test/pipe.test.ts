/** The command when the reader of its output closes the pipe. */
import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import test from 'ava'

const binary = fileURLToPath(new URL('../../bin/eiderwindctl.js', import.meta.url))

test('a reader that closes the pipe ends the command without an error', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'eiderwindctl-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  const file = join(folder, 'gateway.log')
  // The output has one row for each of 20,000 seconds, which is more than a pipe holds.
  const line = (second: number): string => JSON.stringify({ time: new Date(second * 1000).toISOString(), event: 411, name: 'request-ended', node: 'g', route: 'r', outcome: 'busy 429' })
  writeFileSync(file, Array.from({ length: 20_000 }, (_each, second) => line(second)).join('\n'))
  const child = spawn(process.execPath, [binary, 'late', file], { stdio: ['ignore', 'pipe', 'pipe'] })
  let error = ''
  child.stderr.on('data', chunk => { error += String(chunk) })
  child.stdout.once('data', () => child.stdout.destroy())
  const status = await new Promise<number | null>(resolve => child.on('close', resolve))
  t.is(error, '')
  t.is(status, 0)
})
