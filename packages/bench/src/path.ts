/** Measures the path of a request: the latency that entry and worker add, and the throughput of one entry process. */
import { Agent, request } from 'undici'
import { build } from 'hdr-histogram-js'
import { Fleet, modelName, plainName, trialKey } from '@eiderwind/trial'
import { ofRuns, type Figures } from './figures.js'
import { pause, processorTime } from './usage.js'

const runs = 3

/** Pairs of calls in one run: one directly to the stand-in for the engine, and one through entry and worker. */
const pairs = 1500
const warmUpPairs = 500
const agent = new Agent({ connections: 64, pipelining: 1 })
const headers = { authorization: `Bearer ${trialKey}`, 'content-type': 'application/json' }
const completion = JSON.stringify({ model: modelName, max_tokens: 1, messages: [{ role: 'user', content: 'x' }] })

/** Measures the added latency, the requests per second and the time to the first answer. */
export async function measurePath (figures: Figures): Promise<void> {
  const startedAt = performance.now()
  const fleet = new Fleet({ entries: 1, engines: 1, members: 1, plain: 1, engine: { firstTime: 0, tokenTime: 0 } })
  try {
    await fleet.start()
    await call(`http://${fleet.entries[0].callers}/v1/chat/completions`, completion)
    figures.add(ofRuns('start.first_answer', 's', [(performance.now() - startedAt) / 1000], 'from nothing to the first answer: platform, entry, 2 workers with stand-ins, processes started one after another where they wait for each other'))
    await measureEntryStart(figures, fleet)
    await measureAdded(figures, fleet)
    await measureRate(figures, fleet)
  } finally {
    await fleet.stop()
  }
}

async function measureEntryStart (figures: Figures, fleet: Fleet): Promise<void> {
  const spans: number[] = []
  for (let run = 0; run < runs; run++) {
    const startedAt = performance.now()
    const entry = await fleet.addEntry(`late-${run}`)
    while (await call(`http://${entry.callers}/v1/chat/completions`, completion) !== 200) await pause(5)
    spans.push((performance.now() - startedAt) / 1000)
    entry.child.signal('SIGKILL')
    fleet.entries.pop()
  }
  figures.add(ofRuns('start.entry', 's', spans, 'a further entry, from its start to its first answered completion'))
}

/**
 * Calls the stand-in directly and through entry and worker in turns, so that the machine's noise affects both alike.
 */
async function measureAdded (figures: Figures, fleet: Fleet): Promise<void> {
  const through = `http://${fleet.entries[0].callers}/v1/chat/completions`
  const direct = `${fleet.worker('engine-1').upstreamUrl}/v1/chat/completions`
  const median: number[] = []
  const tail: number[] = []
  for (let run = 0; run <= runs; run++) {
    const [a, b] = [build(), build()]
    for (let index = 0; index < (run === 0 ? warmUpPairs : pairs); index++) {
      a.recordValue(Math.round(await timed(direct) * 1000))
      b.recordValue(Math.round(await timed(through) * 1000))
    }
    if (run === 0) continue
    median.push((b.getValueAtPercentile(50) - a.getValueAtPercentile(50)) / 1000)
    tail.push((b.getValueAtPercentile(99) - a.getValueAtPercentile(99)) / 1000)
  }
  const note = `entry and worker against the stand-in called directly, ${pairs} pairs a run, one at a time`
  figures.add(ofRuns('path.added_p50', 'ms', median, note))
  figures.add(ofRuns('path.added_p99', 'ms', tail, note))
}

async function measureRate (figures: Figures, fleet: Fleet): Promise<void> {
  const url = `http://${fleet.entries[0].callers}/services/${plainName}/cards`
  const { pid } = fleet.entries[0].child
  const rates: number[] = []
  const costs: number[] = []
  for (let run = 0; run < runs; run++) {
    const cpu = processorTime(pid)
    const startedAt = performance.now()
    let done = 0
    await Promise.all(Array.from({ length: 32 }, async () => {
      while (performance.now() - startedAt < 3000) {
        if (await call(url, '') === 200) done++
      }
    }))
    rates.push(done / (performance.now() - startedAt) * 1000)
    costs.push((processorTime(pid) - cpu) / done)
  }
  figures.add(ofRuns('path.requests', '1/s', rates, 'plain requests through one entry and one worker, 32 at once, 3 s a run'))
  figures.add(ofRuns('path.request_cpu', 'ms', costs, 'processor time of the entry for one plain request'))
}

async function timed (url: string): Promise<number> {
  const startedAt = performance.now()
  await call(url, completion)
  return performance.now() - startedAt
}

async function call (url: string, body: string): Promise<number> {
  const response = await request(url, { method: 'POST', headers, body, dispatcher: agent })
  await response.body.dump()
  return response.statusCode
}
