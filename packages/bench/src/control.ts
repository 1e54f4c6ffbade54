/**
 * Measures the cost of control at several sizes: reports, exchanges, grants, calls to the platform, and the memory
 * that an entry uses for each known node. It starts a fleet of processes and reads their usage from /proc.
 */
import { v7 } from 'uuid'
import { type EntryAddress, type Node, type Report } from '@eiderwind/schema'
import { Fleet, Forwarder } from '@eiderwind/trial'
import { ManualClock, SystemClock } from '@eiderwind/clock'
import { Reports, toColumns, type Beats } from '@eiderwind/spread'
import { Clients, type ExchangeMessage } from '@eiderwind/wire'
import { type Figures, ofRuns } from './figures.js'
import { fit, slopeFigure, type Point } from './fit.js'
import { atRate, pause, processorTime, residentMemory } from './usage.js'

/** Duration of one measurement, in ms. */
const spanMs = 4000

/** Rates at which messages are sent, in messages per second. */
const rates = [10, 100, 400]

/** Sequence number of the last report that was sent to count bytes. */
let lastSequence = 1_000_000

/** Measures the control cost of an entry and of a worker for each message that they receive. */
export async function measureControl (figures: Figures): Promise<void> {
  const fleet = new Fleet({ entries: 1, engines: 1, members: 1, plain: 0 })
  const clients = new Clients(new SystemClock(), 5000)
  try {
    await fleet.start()
    await measureReports(figures, fleet, clients)
    await measureExchanges(figures, fleet, clients)
    await measureClaims(figures, fleet, clients)
    await measureNodeMemory(figures, fleet)
    await measurePlatform(figures, fleet)
  } finally {
    await clients.close()
    await fleet.stop()
  }
}

function report (index: number, sequence: number): Report {
  return {
    worker: `node-${index}`,
    incarnation: '0190b0a0-0000-7000-8000-000000000001',
    address: `10.0.${index >> 8}.${index & 255}:8090`,
    dataCentre: 'dc-1',
    sequence,
    service: 'support',
    replica: `support.fabric-1.${index}`,
    generation: index,
    members: 4,
    serving: true,
    leaving: false,
    healthy: true,
    running: 40,
    queued: 3,
    concurrency: 64,
    missing: [],
    slots: [],
    loaded: { version: 'v1', generation: index },
    revision: 3
  }
}

async function measureReports (figures: Figures, fleet: Fleet, clients: Clients): Promise<void> {
  const { child, peers } = fleet.entries[0]
  const points = await cpuPoints(child.pid, index => clients.entry(peers).report(report(index % 100, index)))
  figures.add(slopeFigure('control.report_cpu', 'ms/report', points, 'processor time of an entry for a worker\'s report'))
  const bytes = await bytesOf(peers, address => clients.entry(address).report(report(1, ++lastSequence)))
  figures.add(ofRuns('control.report_bytes', 'bytes', bytes, 'a report and its answer, with their HTTP headers, counted on the socket'))
}

/**
 * Sends exchanges with increasing numbers of beats, to separate the cost of a message from the cost of each beat in
 * it. A beat is the short form of a report and has only its counts.
 */
async function measureExchanges (figures: Figures, fleet: Fleet, clients: Clients): Promise<void> {
  const { child, peers } = fleet.entries[0]
  const from: EntryAddress = { id: 'bench', dataCentre: 'dc-1', region: 'region-1', peer: peers }
  const points: Point[] = []
  let sequence = 2_000_000
  const fullReports = Array.from({ length: 300 }, (_each, index) => ({ report: report(index, sequence), age: 10 }))
  const { revision, known } = await clients.entry(peers).exchange({ from, revision: 0, known: 0, reports: fullReports, beats: toColumns([]) })
  for (const count of [1, 20, 100, 300]) {
    const message = (): ExchangeMessage => ({ from, revision, known, reports: [], beats: beats(count, ++sequence) })
    const cpu = processorTime(child.pid)
    const done = await atRate(20, spanMs, () => clients.entry(peers).exchange(message()))
    points.push({ size: count, value: (processorTime(child.pid) - cpu) / done })
  }
  const line = fit(points)
  figures.add(slopeFigure('control.beat_cpu', 'ms/beat', points, 'processor time of an entry for each beat in an exchange'))
  figures.add(ofRuns('control.exchange_cpu', 'ms', [Math.max(line.intercept, 0)], 'processor time of an entry for an exchange, beside the reports in it'))
  figures.add(ofRuns('control.exchange_report_bytes', 'bytes', [jsonBytes({ report: report(200, 100_000), age: 12.345 })], 'one whole report in an exchange'))
  figures.add(ofRuns('control.beat_bytes', 'bytes', [(jsonBytes(beats(101, 100_000)) - jsonBytes(beats(1, 100_000))) / 100], 'one beat in an exchange'))
  const bytes = await bytesOf(peers, address => clients.entry(address).exchange({ from, revision, known, reports: [], beats: toColumns([]) }))
  figures.add(ofRuns('control.exchange_bytes', 'bytes', bytes, 'an exchange without reports and its answer, with their HTTP headers, counted on the socket'))
}

async function measureClaims (figures: Figures, fleet: Fleet, clients: Clients): Promise<void> {
  const worker = fleet.worker('engine-1')
  const claim = { resource: 'bench', holder: 'bench', term: v7(), period: 1000, revision: 0 }
  const points = await cpuPoints(worker.child.pid, () => clients.worker(worker.address).claim(claim))
  figures.add(slopeFigure('control.claim_cpu', 'ms/claim', points, 'processor time of a worker for a claim that it grants'))
  const callerPoints: Point[] = []
  for (const rate of rates) {
    const before = process.cpuUsage()
    const done = await atRate(rate, spanMs, () => clients.worker(worker.address).claim(claim))
    const { user, system } = process.cpuUsage(before)
    callerPoints.push({ size: done / spanMs * 1000, value: (user + system) / 1000 / spanMs * 1000 })
  }
  figures.add(slopeFigure('control.ask_cpu', 'ms/claim', callerPoints, 'processor time of a head for a claim that it makes, in the bench\'s own process'))
  const bytes = await bytesOf(worker.address, address => clients.worker(address).claim(claim))
  figures.add(ofRuns('control.claim_bytes', 'bytes', bytes, 'a claim and its answer, with their HTTP headers, counted on the socket'))
}

/** Memory of an entry by the number of nodes that it knows, each with reports. */
async function measureNodeMemory (figures: Figures, fleet: Fleet): Promise<void> {
  const clients = new Clients(new SystemClock(), 5000)
  const { child, peers } = fleet.entries[0]
  const points: Point[] = []
  for (const count of [10, 400, 1300]) {
    await fleet.setNodes([...fleet.nodes(), ...Array.from({ length: count }, (_each, index) => node(index))])
    for (let sequence = 0; sequence < 10; sequence++) {
      for (let start = 0; start < count; start += 100) {
        const reports = Array.from({ length: Math.min(100, count - start) }, (_each, index) => ({ report: report(start + index, 3_000_000 + points.length * 100 + sequence), age: 5 }))
        await clients.entry(peers).exchange({ from: { id: 'bench', dataCentre: 'dc-1', region: 'region-1', peer: peers }, revision: 0, known: 0, reports, beats: toColumns([]) })
      }
    }
    await pause(2500)
    points.push({ size: count, value: residentMemory(child.pid) })
  }
  await clients.close()
  figures.add(slopeFigure('control.node_memory', 'KiB/node', points, 'resident memory of an entry by nodes in the list, each with reports'))
}

/** The beats for the reports that `report` makes. */
function beats (count: number, sequence: number): Beats {
  const reports = new Reports(new ManualClock())
  for (let index = 0; index < count; index++) reports.accept({ report: report(index, 1), age: 0 }, 'near')
  return toColumns([...reports.all].map(({ report: { worker }, stamp }) => ({ worker, stamp, sequence, running: 41, queued: 2, age: 812 })))
}

function node (index: number): Node {
  return { id: `node-${index}`, domain: `fabric-${index >> 6}`, dataCentre: 'dc-1', region: 'region-1', address: `10.0.${index >> 8}.${index & 255}:8090`, accelerators: 4, state: 'live' }
}

/** Calls to the platform by the entries of one data centre while nothing changes. */
async function measurePlatform (figures: Figures, fleet: Fleet): Promise<void> {
  const points: Point[] = []
  await fleet.setNodes(fleet.nodes())
  for (const count of [1, 2, 4]) {
    while (fleet.entries.length < count) await fleet.addEntry(`more-${fleet.entries.length}`)
    await pause(4000)
    const before = await platformCalls(fleet)
    await pause(8000)
    points.push({ size: count, value: (await platformCalls(fleet) - before) / 8 })
  }
  figures.add(slopeFigure('platform.calls', '1/s per entry', points, 'reads and watches at the platform by entries of one data centre'))
  figures.add(ofRuns('platform.calls_per_data_centre', '1/s', [points[points.length - 1].value], `reads and watches at the platform of a data centre with ${points[points.length - 1].size} entries, when nothing changes`))
}

async function platformCalls (fleet: Fleet): Promise<number> {
  const { reads, writes, watches } = await fleet.control('calls', null) as { reads: number, writes: number, watches: number }
  return reads + writes + watches
}

/** Bytes of one call in both directions, one value for each of three runs. */
async function bytesOf (address: string, task: (address: string) => Promise<unknown>): Promise<number[]> {
  const forwarder = new Forwarder(address)
  await forwarder.start()
  const counts: number[] = []
  for (let run = 0; run < 3; run++) {
    const before = forwarder.bytes
    for (let index = 0; index < 20; index++) await task(forwarder.address)
    counts.push((forwarder.bytes - before) / 20)
  }
  forwarder.stop()
  return counts
}

async function cpuPoints (pid: number, task: (index: number) => Promise<unknown>): Promise<Point[]> {
  const points: Point[] = []
  await atRate(100, 1000, task)
  for (const rate of rates) {
    const cpu = processorTime(pid)
    const done = await atRate(rate, spanMs, task)
    points.push({ size: done / spanMs * 1000, value: (processorTime(pid) - cpu) / spanMs * 1000 })
  }
  return points
}

function jsonBytes (value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value))
}
