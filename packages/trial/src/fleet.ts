/**
 * Runs entries, workers and stand-ins as processes on loopback, for the local trial, the bench and tests. A fleet owns
 * its processes and a folder with their settings files. `stop` ends the processes and removes the folder.
 */
import { createHash } from 'node:crypto'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { SystemClock } from '@eiderwind/clock'
import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { Operators, type Status } from '@eiderwind/rpc'
import { mintKey, readKey, slotCount } from '@eiderwind/run'
import { type Node } from '@eiderwind/schema'
import { Clients } from '@eiderwind/wire'
import { Child } from './child.js'
import { type EngineOptions } from './engine.js'
import { type PlatformFault } from './platform.js'

/** The API key of a trial's team. It is valid only in a trial. */
export const trialKey = 'trial-key'
/** The token of a trial's operator. It is valid only in a trial. */
export const trialToken = 'trial-token'

/** Name of the trial's model service. */
export const modelName = 'support'
/** Name of the trial's plain service. */
export const plainName = 'receipts'

const daemonScript = fileURLToPath(new URL('../../../daemon/bin/eiderwind.js', import.meta.url))
const standInScript = fileURLToPath(new URL('./standin.js', import.meta.url))

/** Size and timing of a fleet. */
export interface FleetOptions {
  /** Number of entries. Default: 2. */
  readonly entries?: number
  /** Number of nodes with an engine. Those of one data centre share a fabric domain. Default: 4. */
  readonly engines?: number
  /** Number of nodes with the plain service. Default: 3. */
  readonly plain?: number
  /** Number of data centres, all in one region. Entries and nodes are assigned to them in turn. Default: 1. */
  readonly dataCentres?: number
  /** Number of replicas of the model service. Default: 1. */
  readonly replicas?: number
  /** Number of nodes in a replica. Default: 4. */
  readonly members?: number
  readonly engine?: EngineOptions
  /** Lease period, in ms. Default: 1500. */
  readonly period?: number
  /** Lease interval, in ms. Default: 300. */
  readonly interval?: number
  /** Maximum difference between wall clocks, in ms. Default: 300. */
  readonly skew?: number
  /** Time without a report after which a node counts as lost, in ms. Default: 2500. */
  readonly lostAfter?: number
  /** Usual duration of a node's restart, in ms. Default: 3000. */
  readonly restartTime?: number
}

/** An entry of a fleet: its process, addresses and settings file. */
export interface FleetEntry {
  readonly id: string
  child: Child
  readonly callers: string
  readonly operators: string
  readonly peers: string
  readonly settings: string
}

/** A worker of a fleet and the upstream beside it. */
export interface FleetWorker {
  readonly id: string
  child: Child
  readonly address: string
  readonly settings: string
  upstream: Child
  readonly upstreamUrl: string
  readonly service: string | undefined
}

/** Real daemons and stand-ins, each a process on loopback. The fleet starts every process; the daemons start none. */
export class Fleet {
  readonly entries: FleetEntry[] = []
  readonly workers: FleetWorker[] = []
  readonly #options: Required<FleetOptions>
  readonly #folder = mkdtempSync(join(tmpdir(), 'eiderwind-'))
  readonly #children: Child[] = []
  platform!: Child
  platformUrl = ''

  constructor (options: FleetOptions = {}) {
    this.#options = { entries: 2, engines: 4, plain: 3, dataCentres: 1, replicas: 1, members: 4, engine: {}, period: 1500, interval: 300, skew: 300, lostAfter: 2500, restartTime: 3000, ...options }
  }

  /** Starts all processes, then waits until every replica and plain worker serves. */
  async start (): Promise<void> {
    const { entries, engines, plain } = this.#options
    this.platform = this.#startStandIn('platform', ['platform'])
    this.platformUrl = await reportedUrl(this.platform)
    for (let index = 1; index <= entries; index++) await this.addEntry(`entry-${index}`)
    const nodes = [...numberedIds('engine', engines), ...numberedIds('plain', plain)]
    await Promise.all(nodes.map(id => this.#addWorker(id, id.startsWith('plain') ? plainName : undefined)))
    this.workers.sort((a, b) => a.id < b.id ? -1 : 1)
    await this.setNodes(this.nodes())
    await this.#configure()
    await this.waitUntilServing()
  }

  /** The fleet's node list. */
  nodes (): Node[] {
    return this.workers.map(({ id, address, service }) => ({
      id,
      domain: service === undefined ? `fabric-${this.#dataCentre(id).slice(3)}` : 'fabric-plain',
      dataCentre: this.#dataCentre(id),
      region: 'region-1',
      address,
      accelerators: service === undefined ? 4 : 0,
      service,
      state: 'live'
    }))
  }

  /** Replaces the platform's node list. */
  async setNodes (nodes: readonly Node[]): Promise<void> {
    await this.control('nodes', nodes)
  }

  /** Waits until every entry has `address` for node `id`. A head's next tenure then uses this address. */
  async waitForAddress (id: string, address: string): Promise<void> {
    const clients = new Clients(new SystemClock())
    for (const entry of this.entries) {
      const deadline = Date.now() + 10_000
      while (!(await clients.entry(entry.peers).known()).nodes.some(node => node.id === id && node.address === address)) {
        if (Date.now() > deadline) throw new Error(`Entry ${entry.id} did not receive the address ${address} of node ${id} within 10 s.`)
        await new Promise(resolve => setTimeout(resolve, 20))
      }
    }
    await clients.close()
  }

  /** Sets the platform's fault; `{}` ends it. */
  async failPlatform (fault: PlatformFault): Promise<void> {
    await this.control('fault', fault)
  }

  /** Calls a control path of the platform stand-in and returns its answer. */
  async control (action: string, value: unknown): Promise<unknown> {
    const response = await fetch(`${this.platformUrl}/control/${action}`, { method: 'PUT', body: JSON.stringify(value) })
    return await response.json()
  }

  /** A client for operators' calls at one entry. */
  operators (entry = this.entries[0]): Client<typeof Operators> {
    return createClient(Operators, createConnectTransport({
      baseUrl: `http://${entry.operators}`,
      httpVersion: '1.1',
      interceptors: [next => request => {
        request.header.set('authorization', `Bearer ${trialToken}`)
        return next(request)
      }]
    }))
  }

  worker (id: string): FleetWorker {
    const found = this.workers.find(each => each.id === id)
    if (found === undefined) throw new Error(`The fleet has no worker ${id}.`)
    return found
  }

  /** Waits until the status that one entry reports matches, and returns it. */
  async waitForStatus (matches: (status: Status) => boolean, entry = this.entries[0], maxWaitMs = 30_000): Promise<Status> {
    const deadline = Date.now() + maxWaitMs
    let last: unknown
    while (Date.now() < deadline) {
      const status = await this.operators(entry).readStatus({}).catch(error => { last = error })
      if (status !== undefined) {
        if (matches(status)) return status
        last = status
      }
      await new Promise(resolve => setTimeout(resolve, 50))
    }
    throw new Error(`The status did not match in time; last status or error: ${JSON.stringify(last, (_key, value) => typeof value === 'bigint' ? Number(value) : value as unknown)}`)
  }

  /** Waits until every running entry reports that all replicas serve and that each slot has a home. */
  async waitUntilServing (): Promise<void> {
    const { replicas, plain } = this.#options
    for (const entry of this.entries.filter(each => each.child.running)) {
      await this.waitForStatus(status => {
        const slots = status.nodes.flatMap(each => each.slots)
        return status.replicas.filter(each => each.serving).length >= replicas && (plain === 0 || new Set(slots).size === slotCount)
      }, entry)
    }
  }

  /** Waits until every home has been open long enough to accept new keys from callers. */
  async waitUntilKeysAccepted (): Promise<void> {
    const url = `http://${this.entries[0].callers}/services/${plainName}/topups`
    for (let tries = 0; tries < 100; tries++) {
      const probes = keysOfEachSlot().map(key => fetch(url, { method: 'POST', headers: { authorization: `Bearer ${trialKey}`, 'idempotency-key': key }, body: 'probe' }))
      const answers = await Promise.all(probes)
      await Promise.all(answers.map(each => each.text()))
      if (answers.every(each => each.status === 200)) return
    }
    throw new Error('The homes did not accept new keys of every slot in 100 rounds.')
  }

  /** Starts another entry. */
  async addEntry (id: string): Promise<FleetEntry> {
    const settings = this.#writeSettings(id, this.#entrySettings(id))
    const child = this.#startDaemon(id, ['entry', settings])
    const { callers, operators, peers } = await child.waitForLine(line => line.event === 100) as unknown as FleetEntry
    const entry = { id, child, callers, operators, peers, settings }
    this.entries.push(entry)
    return entry
  }

  /** Restarts an entry that has ended. It listens on other ports. */
  async restartEntry (entry: FleetEntry): Promise<FleetEntry> {
    this.entries.splice(this.entries.indexOf(entry), 1)
    return await this.addEntry(entry.id)
  }

  /** Restarts a worker that has ended. It listens on the same port. */
  async restartWorker (worker: FleetWorker): Promise<void> {
    worker.child = this.#startDaemon(worker.id, ['worker', worker.settings])
    await worker.child.waitForLine(line => line.event === 100)
  }

  /** Kills all processes and removes the folder with their settings. */
  async stop (): Promise<void> {
    const running = this.#children.filter(each => each.running)
    for (const child of running) {
      child.signal('SIGKILL')
    }
    await Promise.all(running.map(each => each.ended()))
    rmSync(this.#folder, { recursive: true })
  }

  /** Starts a worker on any free port. Its settings file is then rewritten with that port, which a restart reuses. */
  async #addWorker (id: string, service: string | undefined): Promise<void> {
    const args = service === undefined ? ['engine', JSON.stringify(this.#options.engine)] : ['plain', id]
    const upstream = this.#startStandIn(`${id}-upstream`, args)
    const upstreamUrl = await reportedUrl(upstream)
    const initialSettings = this.#writeSettings(id, this.#workerSettings(id, '127.0.0.1:0', upstreamUrl, service))
    const child = this.#startDaemon(id, ['worker', initialSettings])
    const address = String((await child.waitForLine(line => line.event === 100)).peers)
    const settings = this.#writeSettings(id, this.#workerSettings(id, address, upstreamUrl, service))
    this.workers.push({ id, child, address, settings, upstream, upstreamUrl, service })
  }

  async #configure (): Promise<void> {
    const { replicas, members } = this.#options
    const calls = this.operators()
    const bounds = { concurrency: 64, queue: 256 }
    await calls.putTeam({ team: { name: 'trial', priority: 10, keyDigests: [sha256(trialKey)] } })
    await calls.putService({ service: { name: modelName, kind: { case: 'model', value: { replicas, members, version: 'v1', checksOrders: true, ...bounds } } } })
    if (this.#options.plain === 0) return
    const routes = [{ method: 'POST', path: '/topups', repeatable: false }]
    await calls.putService({ service: { name: plainName, kind: { case: 'plain', value: { routes, ...bounds } } } })
  }

  #entrySettings (id: string): string {
    const { lostAfter, restartTime } = this.#options
    return joinLines([
      '[process]', `id = ${id}`, `data_centre = ${this.#dataCentre(id)}`, 'region = region-1',
      '[listen]', 'callers = 127.0.0.1:0', 'operators = 127.0.0.1:0', 'peers = 127.0.0.1:0',
      '[platform]', `url = ${this.platformUrl}`, 'timeout = 1000',
      '[entries]', `seeds = ${this.entries.map(each => each.peers).join(', ')}`,
      '[operators]', 'name = trial', `token_sha256 = ${sha256(trialToken)}`,
      '[limits]', 'notice = 500',
      '[planner]', `lost_after = ${lostAfter}`, `restart_time = ${restartTime}`
    ])
  }

  #workerSettings (id: string, address: string, upstream: string, service: string | undefined): string {
    const { period, interval, skew } = this.#options
    return joinLines([
      '[process]', `id = ${id}`, `data_centre = ${this.#dataCentre(id)}`, 'region = region-1',
      '[listen]', `peers = ${address}`,
      '[node]', `id = ${id}`,
      '[upstream]', `kind = ${service === undefined ? 'engine' : 'service'}`, `url = ${upstream}`,
      '[entries]', `seeds = ${this.entries.map(each => each.peers).join(', ')}`,
      '[lease]', `period = ${period}`, `interval = ${interval}`, `skew = ${skew}`,
      '[observe]', 'level = debug'
    ])
  }

  /** The data centre of an entry or node, derived from the number at the end of its id. */
  #dataCentre (id: string): string {
    const number = Number(/\d+$/.exec(id)?.[0] ?? 1)
    return `dc-${(number - 1) % this.#options.dataCentres + 1}`
  }

  #writeSettings (id: string, text: string): string {
    const file = join(this.#folder, `${id}.ini`)
    writeFileSync(file, text)
    return file
  }

  #startDaemon (name: string, args: readonly string[]): Child {
    const child = new Child(name, daemonScript, args)
    this.#children.push(child)
    return child
  }

  #startStandIn (name: string, args: readonly string[]): Child {
    const child = new Child(name, standInScript, args)
    this.#children.push(child)
    return child
  }
}

/** The SHA-256 of a secret, in hex. */
function sha256 (secret: string): string {
  return createHash('sha256').update(secret).digest('hex')
}

/** The URL that a stand-in prints when it listens. */
async function reportedUrl (child: Child): Promise<string> {
  return String((await child.waitForLine(line => typeof line.url === 'string')).url)
}

function numberedIds (prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_each, index) => `${prefix}-${index + 1}`)
}

function joinLines (all: readonly string[]): string {
  return `${all.join('\n')}\n`
}

/** New keys of a caller, one for each slot. Keys drawn only at random missed a slot in four of ten draws. */
export function keysOfEachSlot (): string[] {
  const keys = new Map<number, string>()
  while (keys.size < slotCount) {
    const key = mintKey(Date.now())
    keys.set(readKey(key).unwrap().slot, key)
  }
  return [...keys.values()]
}
