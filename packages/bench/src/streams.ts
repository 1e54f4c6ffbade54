/** Measures streams through one entry process: tokens per second, processor time per token and memory per stream. */
import { fileURLToPath } from 'node:url'
import { Child, Fleet, modelName } from '@eiderwind/trial'
import { type Figures, ofRuns, rounded } from './figures.js'
import { slopeFigure, type Point } from './fit.js'
import { pause, processorTime, residentMemory } from './usage.js'

const readerScript = fileURLToPath(new URL('./reader.js', import.meta.url))

/** Numbers of open streams. */
const sizes = [500, 1500, 4500]

/** Time between two tokens of a stream, in ms. */
const tokenTime = 75

/** Tokens of one stream. */
const tokens = 400
const replicas = 4

/** Processes that read the streams. */
const readers = 2

/** Duration of one measurement, in ms. */
const span = 8000

/** Measures one entry at increasing numbers of open streams, each with a token every 75 ms. */
export async function measureStreams (figures: Figures): Promise<void> {
  const memory: Point[] = []
  const cpu: Point[] = []
  for (const size of sizes) {
    const fleet = new Fleet({ entries: 1, engines: replicas, members: 1, replicas, plain: 0, engine: { tokenTime, firstTime: 0 } })
    const children: Child[] = []
    try {
      await fleet.start()
      await raiseConcurrency(fleet)
      const { pid } = fleet.entries[0].child
      const idle = residentMemory(pid)
      for (let index = 0; index < readers; index++) children.push(new Child(`reader-${index}`, readerScript, [`http://${fleet.entries[0].callers}`, String(size / readers), String(tokens)]))
      await waitUntilOpen(children, size)
      await pause(2000)
      const before = countedTokens(children)
      const cpuBefore = processorTime(pid)
      const startedAt = performance.now()
      await pause(span)
      const seconds = (performance.now() - startedAt) / 1000
      const rate = (countedTokens(children) - before) / seconds
      const cpuPercent = (processorTime(pid) - cpuBefore) / seconds / 10
      memory.push({ size, value: residentMemory(pid) - idle })
      cpu.push({ size: rate, value: cpuPercent * 10 })
      const note = `${size} streams through one entry, a token each ${tokenTime} ms in each, ${span / 1000} s`
      figures.add(ofRuns(`streams.tokens_${size}`, '1/s', [rate], note))
      figures.add(ofRuns(`streams.entry_cpu_${size}`, '% of a core', [cpuPercent], note))
      figures.add({ name: `streams.broken_${size}`, unit: 'streams', value: rounded(brokenStreams(children)), note })
    } finally {
      const running = children.filter(each => each.running)
      for (const child of running) child.signal('SIGKILL')
      await fleet.stop()
    }
  }
  figures.add(slopeFigure('streams.memory', 'KiB/stream', memory, 'resident memory of the entry above its idle size, by open streams'))
  figures.add(slopeFigure('streams.token_cpu', 'ms/s per token/s', cpu, 'processor time of the entry by tokens passed on'))
}

/** Raises the concurrency of each replica so that it can run all its streams. */
async function raiseConcurrency (fleet: Fleet): Promise<void> {
  const bounds = { concurrency: 4000, queue: 256 }
  await fleet.operators().putService({ service: { name: modelName, kind: { case: 'model', value: { replicas, members: 1, version: 'v1', checksOrders: true, ...bounds } } } })
  await pause(2500)
}

async function waitUntilOpen (children: readonly Child[], size: number): Promise<void> {
  const end = Date.now() + 30_000
  while (Date.now() < end && sum(children, 'open') < size * 0.98) await pause(250)
}

function countedTokens (children: readonly Child[]): number {
  return sum(children, 'counted')
}

function brokenStreams (children: readonly Child[]): number {
  return sum(children, 'broken')
}

function sum (children: readonly Child[], field: string): number {
  return children.reduce((total, child) => total + Number(child.lines.at(-1)?.[field] ?? 0), 0)
}
