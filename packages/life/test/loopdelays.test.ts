/** What is logged about delays of the event loop, and that it tells the process's own work from other causes. */
import test from 'ava'
import { ManualClock, SystemClock } from '@eiderwind/clock'
import { Log } from '@eiderwind/log'
import { LoopDelays, type WorkTotals } from '../src/loopdelays.js'
import { ThreadTimesReader } from '../src/threadtimes.js'

interface Line {
  readonly late: number
  readonly span: number
  readonly processor: number
  readonly waited: number
  readonly garbage: number
  readonly requests?: number
}

/** Keeps this thread busy until it has used a processor for `time` ms. */
function useProcessor (time: number): void {
  const reader = new ThreadTimesReader()
  reader.open()
  const used = (): number => reader.read()?.processor ?? Infinity
  for (const end = used() + time; used() < end;);
  reader.close()
}

/** Runs `delay` between two ticks, and returns the logged lines. */
async function linesOf (delay: () => void, work: () => WorkTotals = () => ({})): Promise<Line[]> {
  const clock = new SystemClock()
  const lines: Line[] = []
  const delays = new LoopDelays({ clock, log: new Log({ sink: line => { lines.push(JSON.parse(line) as Line) } }), work, observed: () => {} })
  delays.start()
  await clock.wait(10)
  delay()
  await clock.wait(200)
  delays.stop()
  return lines
}

test.serial('a long turn is logged with its processor time and its work', async t => {
  let requests = 3
  const lines = await linesOf(() => {
    requests = 8
    useProcessor(300)
  }, () => ({ requests, callersClosed: 2 }))
  const line = lines.find(each => each.requests !== undefined)
  t.is(line?.requests, 5)
  t.false(line !== undefined && 'callersClosed' in line, 'kinds of work of which there was none are omitted')
  t.true((line?.processor ?? 0) >= 200, JSON.stringify(lines))
})

test.serial('garbage collections within a delay are logged', async t => {
  const lines = await linesOf(() => {
    for (const end = performance.now() + 400; performance.now() < end;) Array.from({ length: 10_000 }, () => ({}))
  })
  t.true(lines.some(({ late, garbage }) => late >= 200 && garbage > 0), JSON.stringify(lines))
})

test.serial('a delay without work is logged with little processor time', async t => {
  const lines = await linesOf(() => { Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, 300) })
  t.true(lines.some(({ late, processor }) => late >= 200 && processor < 100), JSON.stringify(lines))
})

test('every delay is observed, and only long ones are logged', t => {
  const clock = new ManualClock()
  const lines: string[] = []
  const observed: number[] = []
  const delays = new LoopDelays({ clock, log: new Log({ sink: line => { lines.push(line) } }), work: () => ({}), observed: delay => observed.push(delay) })
  delays.start()
  clock.advance(50)
  clock.freeze(60)
  clock.advance(0)
  clock.advance(50)
  t.deepEqual(observed, [0, 10, 0])
  t.is(lines.length, 0)
  clock.freeze(150)
  clock.advance(0)
  clock.advance(50)
  delays.stop()
  t.deepEqual(observed.slice(3), [100, 0])
  const { late, span } = JSON.parse(lines[0]) as Line
  t.deepEqual([late, span], [100, 150])
})
