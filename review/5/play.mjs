/**
 * Two of seven gateways lose the store, those that read the list of workers for all; soon after they are back, the two
 * that read it then. Each time a worker of a plain service leaves without saying so. The rule DRAIN is checked at the
 * workers, for gateways that are in touch.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { connect } from 'node:net'
import { join } from 'node:path'
import { guarded, hasTrouble, pause, run } from '../common/site.mjs'
import { WorkerSite } from '../common/workers.mjs'
import { configuration, keys } from '../common/config.mjs'
import { call } from '../../platform/dist/test/standins/client.js'
import { freePorts } from '../../platform/dist/test/standins/ports.js'
import { entryHeader } from '../../platform/dist/test/standins/worker.js'

const contactMs = 3000
const drainMs = 2000
const cutTime = 8000
/** Time between the end of one cut and the next one, in ms. */
const gap = 1100
const rounds = 5
const gateways = 7
const workers = 6
const callersEach = 4
/** How long a worker works on a request, in ms. */
const workTime = 40
/** Connections that fill the queue of a stopped path. */
const fillers = 40

const program = join(import.meta.dirname, 'storepath.mjs')

/** The path of a gateway to the store. */
class StorePath {
  #fillers = []
  /** The spans in which it was cut, on `performance.now`. */
  spans = []

  async start (storePort) {
    [this.port] = await freePorts(1)
    this.child = guarded(spawn(process.execPath, [program, this.port, storePort].map(String), { stdio: ['ignore', 'pipe', 'inherit'] }))
    process.on('exit', () => this.stop())
    await once(this.child.stdout, 'data')
    return `127.0.0.1:${this.port}`
  }

  cut () {
    this.child.kill('SIGSTOP')
    this.spans.push({ from: performance.now(), to: Infinity })
    this.#fillers = Array.from({ length: fillers }, () => connect(this.port, '127.0.0.1').on('error', () => {}))
  }

  heal () {
    for (const each of this.#fillers) each.destroy()
    this.child.kill('SIGCONT')
    this.spans.at(-1).to = performance.now()
  }

  /** Whether the gateway had its path for the last `contactMs` ms. */
  isInTouch (at) {
    return !this.spans.some(({ from, to }) => at >= from && at < to + contactMs)
  }

  stop () {
    this.child.kill('SIGKILL')
  }
}

await run(import.meta.dirname, async deployment => {
  const site = new WorkerSite(deployment.store)
  const paths = new Map()
  deployment.atEnd(() => {
    site.stop()
    for (const each of paths.values()) each.stop()
  })
  await deployment.start(configuration())
  const addWorker = async () => {
    const worker = await site.addPlain()
    const serve = worker.serve.bind(worker)
    worker.serve = async (...args) => {
      await pause(workTime)
      await serve(...args)
    }
  }
  for (let index = 0; index < workers; index++) await addWorker()
  for (let index = 1; index <= gateways; index++) {
    const path = new StorePath()
    paths.set(`gateway-${index}`, path)
    await deployment.addGateway({ id: `gateway-${index}`, storeAddressOf: async () => await path.start(deployment.store.port) })
  }
  for (const each of deployment.gateways) await deployment.untilReady(each)
  await pause(4000)

  const lastUse = ({ lines }) => lines.filter(each => each.includes('"store-use"')).at(-1) ?? ''
  const readers = () => deployment.gateways.filter(each => lastUse(each).includes('for others'))
  const over = new AbortController()
  const callers = deployment.gateways.flatMap(gateway => Array.from({ length: callersEach }, () => gateway)).map(async ({ id, callerPort: port }) => {
    while (!over.signal.aborted) {
      await call({ port, path: '/safe/', key: keys.one, body: 'a request', deadline: 1500, headers: { [entryHeader]: id } })
      await pause(50)
    }
  })
  const departures = []
  for (let round = 0; round < rounds; round++) {
    const chosen = readers().slice(0, 2)
    if (hasTrouble) {
      for (const { id } of chosen) paths.get(id).cut()
      deployment.note(`${chosen.map(each => each.id).join(' and ')}, which read the list for all, are cut off from the store`)
    }
    await pause(50)
    const worker = [...site.workers.values()].find(each => departures.every(({ worker }) => worker !== each))
    worker.loseEntry()
    departures.push({ worker, at: performance.now() })
    deployment.note(`the entry of ${worker.id} goes; it serves on`)
    await pause(cutTime / 2)
    worker.kill(0)
    await addWorker()
    await pause(cutTime / 2 - 50)
    if (hasTrouble) for (const { id } of chosen) paths.get(id).heal()
    deployment.note('the path to the store is whole again')
    await pause(gap)
  }
  over.abort()
  await Promise.all(callers)
  const violations = []
  for (const { worker, at } of departures) {
    for (const arrival of site.arrivals) {
      if (arrival.worker !== worker || arrival.at - at <= drainMs) continue
      const late = `${Math.round(arrival.at - at)} ms after its entry went`
      const inTouch = paths.get(arrival.entry).isInTouch(arrival.at)
      deployment.note(`${arrival.id} from ${arrival.entry}, ${inTouch ? 'in touch' : 'not in touch'}, reached ${worker.id} ${late}`)
      if (inTouch) violations.push(`DRAIN: ${arrival.id} from ${arrival.entry} reached ${worker.id} ${late}, bound ${drainMs} ms`)
    }
  }
  deployment.note(`${site.arrivals.length} requests reached workers`)
  for (const { id, lines } of deployment.gateways) for (const each of lines) if (/"(store-lost|store-back|store-use|upstream-retained|upstream-departed)"/.test(each)) deployment.note(`log of ${id}: ${each.slice(0, 260)}`)
  return violations
})
