/** A line writer drops lines beyond its rate or its buffer, and counts them. */
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test, { type ExecutionContext } from 'ava'
import { LineWriter } from '../src/index.js'

/** Lines that a writer accepts at once, and per second after that. */
const burst = 300
const rate = 100

/** Bytes that it buffers for a slow reader. */
const bufferSize = 262_144

interface LogFile {
  readonly fd: number
  lines (): string[]
}

function openLogFile (t: ExecutionContext): LogFile {
  const folder = mkdtempSync(join(tmpdir(), 'eiderwind-lines-'))
  const path = join(folder, 'log')
  const fd = openSync(path, 'w')
  t.teardown(() => {
    closeSync(fd)
    rmSync(folder, { recursive: true })
  })
  return { fd, lines: () => readFileSync(path, 'utf8').split('\n').slice(0, -1) }
}

/** Waits until a file has `count` lines, and resolves to all its lines. */
async function readLines ({ lines }: LogFile, count: number): Promise<string[]> {
  while (lines().length < count) await new Promise(resolve => setImmediate(resolve))
  return lines()
}

test('lines beyond the burst and the rate are dropped and counted once', async t => {
  const log = openLogFile(t)
  let now = 0
  const writer = new LineWriter({ fd: log.fd, now: () => now })
  const write = (count: number): void => {
    for (let index = 0; index < count; index++) writer.sink(`line ${index}`)
  }
  write(burst + 5)
  t.is(writer.takeDropped(), 5)
  t.is(writer.takeDropped(), 0)
  now += 1000
  write(rate + 3)
  t.is(writer.takeDropped(), 3)
  now += 3_600_000
  write(burst + 1)
  t.is(writer.takeDropped(), 1, 'a long pause allows one burst and no more')
  t.is((await readLines(log, 2 * burst + rate)).length, 2 * burst + rate)
})

// Guards against: a process whose log is busy ends without a line that says why.
test('lines at level error are written when the others have used up the rate', async t => {
  const log = openLogFile(t)
  const writer = new LineWriter({ fd: log.fd, now: () => 0 })
  for (let index = 0; index < burst + 5; index++) writer.sink(`line ${index}`)
  writer.sink('the cause', 'error')
  writer.sink('one more line', 'warn')
  t.is(writer.takeDropped(), 6)
  t.is((await readLines(log, burst + 1)).at(-1), 'the cause')
})

test('lines that do not fit into the buffer are dropped and counted', async t => {
  const log = openLogFile(t)
  const writer = new LineWriter({ fd: log.fd, now: () => 0 })
  const line = 'x'.repeat(8 * 1024 - 1)
  // The file is written only after this turn of the event loop.
  for (let index = 0; index < 40; index++) writer.sink(line)
  const fitting = bufferSize / (line.length + 1)
  t.is(writer.takeDropped(), 40 - fitting)
  t.deepEqual(await readLines(log, fitting), Array.from({ length: fitting }, () => line))
})
