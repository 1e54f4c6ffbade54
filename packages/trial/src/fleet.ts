/**
 * Entries, workers and stand-ins as processes on loopback, for the local trial, the bench and tests. It owns the processes and a
 * folder with their settings, and ends and removes all of them with `stop`.
 */
import { createHash } from 'node:crypto'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { Operators, type Status } from '@eiderwind/rpc'
import { mintKey, readKey, slotCount } from '@eiderwind/run'
import { type Node } from '@eiderwind/schema'
import { Clients } from '@eiderwind/wire'
import { Child } from './child.js'
import { type EngineOptions } from './engine.js'
import { type PlatformFault } from './platform.js'

/** The API key of a trial's team. It opens nothing else. */
export const trialKey = 'trial-key'
/** The token of a trial's operator. It opens nothing else. */
export const trialToken = 'trial-token'

/** The model service of a trial. */
export const modelName = 'support'
/** The plain service of a trial. */
export const plainName = 'receipts'

const daemonScript = fileURLToPath(new URL('../../../daemon/bin/eiderwind.js', import.meta.url))
const standInScript = fileURLToPath(new URL('./standin.js', import.meta.url))

/** What a trial fleet consists of. */
export interface FleetOptions {
  /** Entries. Default: 2. */
  readonly entries?: number
  /** Nodes with an engine, all in one fabric domain. Default: 4. */
  readonly engines?: number
  /** Nodes with the plain service. Default: 3. */
  readonly plain?: number
  /** Data centres, all in one region; entries and nodes take turns. Default: 1. */
  readonly dataCentres?: number
  /** Replicas of the model service. Default: 1. */
  readonly replicas?: number
  /** Nodes in a replica. Default: 4. */
  readonly members?: number
  readonly engine?: EngineOptions
  /** Lease period and interval, in ms. Default: 1500 and 300. */
  readonly period?: number
  readonly interval?: number
  /** How far wall clocks may differ, in ms. Default: 300. */
  readonly skew?: number
  /** Silence after which a node counts as lost, in ms. Default: 2500. */
  readonly lostAfter?: number
  /** How long a node that restarts is away, as a rule, in ms. Default: 3000. */
  readonly restartTime?: number
}

/** An entry of a fleet, with its addresses. */
export interface FleetEntry {
  readonly id: string
  child: Child
  readonly callers: string
  readonly operators: string
  readonly peers: string
  readonly settings: string
}

/** A worker of a fleet, with what stands beside it. */
export interface FleetWorker {
  readonly id: string
  child: Child
  readonly address: string
  readonly settings: string
  upstream: Child
  readonly upstreamUrl: string
  readonly service: string | undefined
}

/** Real daemons and stand-ins, each a process on loopback. For the local trial and for tests; the daemons themselves start no process. */
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

  /** Starts everything and waits until every replica and plain worker serves. */
  async start (): Promise<void> {
    const { entries, engines, plain } = this.#options
    this.platform = this.#standIn('platform', ['platform'])
    this.platformUrl = await urlOf(this.platform)
    for (let index = 1; index <= entries; index++) await this.addEntry(`entry-${index}`)
    const nodes = [...names('engine', engines), ...names('plain', plain)]
    await Promise.all(nodes.map(id => this.#addWorker(id, id.startsWith('plain') ? plainName : undefined)))
    this.workers.sort((a, b) => a.id < b.id ? -1 : 1)
    await this.setNodes(this.nodes())
    await this.#configure()
    await this.serving()
  }

  /** The node list of the fleet. */
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

  /** Gives the platform another node list. */
  async setNodes (nodes: readonly Node[]): Promise<void> {
    await this.control('nodes', nodes)
  }

  /** Waits until every entry has `address` for the node `id`, so that the next tenure of a head that needs it has it too. */
  async knowAddress (id: string, address: string): Promise<void> {
    const clients = new Clients()
    for (const entry of this.entries) {
      const end = Date.now() + 10_000
      while (!(await clients.entry(entry.peers).known()).nodes.some(node => node.id === id && node.address === address)) {
        if (Date.now() > end) throw new Error(`Entry ${entry.id} never learned the address ${address} of ${id}.`)
        await new Promise(resolve => setTimeout(resolve, 20))
      }
    }
    await clients.close()
  }

  /** Has the platform fail, or work again. */
  async failPlatform (fault: PlatformFault): Promise<void> {
    await this.control('fault', fault)
  }

  async control (what: string, value: unknown): Promise<unknown> {
    const response = await fetch(`${this.platformUrl}/control/${what}`, { method: 'PUT', body: JSON.stringify(value) })
    return await response.json()
  }

  /** The operators' calls, through one entry. */
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
    if (found === undefined) throw new Error(`There is no worker ${id}.`)
    return found
  }

  /** Waits until a status fits, as one entry tells it. */
  async status (fits: (status: Status) => boolean, entry = this.entries[0], patience = 30_000): Promise<Status> {
    const end = Date.now() + patience
    let last: unknown
    while (Date.now() < end) {
      const status = await this.operators(entry).readStatus({}).catch(error => { last = error })
      if (status !== undefined) {
        if (fits(status)) return status
        last = status
      }
      await new Promise(resolve => setTimeout(resolve, 50))
    }
    throw new Error(`The status never fitted: ${JSON.stringify(last, (_key, value) => typeof value === 'bigint' ? Number(value) : value as unknown)}`)
  }

  /** Waits until every replica and every plain worker serves, as every entry tells it. */
  async serving (): Promise<void> {
    const { replicas, plain } = this.#options
    for (const entry of this.entries.filter(each => each.child.running)) {
      await this.status(status => {
        const slots = status.nodes.flatMap(each => each.slots)
        return status.replicas.filter(each => each.serving).length >= replicas && (plain === 0 || new Set(slots).size === slotCount)
      }, entry)
    }
  }

  /** Waits until every home has been open for so long that it takes callers' new keys. */
  async opened (): Promise<void> {
    const url = `http://${this.entries[0].callers}/services/${plainName}/topups`
    for (let tries = 0; tries < 100; tries++) {
      const probes = keysOfEachSlot().map(key => fetch(url, { method: 'POST', headers: { authorization: `Bearer ${trialKey}`, 'idempotency-key': key }, body: 'probe' }))
      const answers = await Promise.all(probes)
      await Promise.all(answers.map(each => each.text()))
      if (answers.every(each => each.status === 200)) return
    }
    throw new Error('The homes never took new keys.')
  }

  /** Starts one more entry. */
  async addEntry (id: string): Promise<FleetEntry> {
    const settings = this.#write(id, this.#entrySettings(id))
    const child = this.#start(id, ['entry', settings])
    const { callers, operators, peers } = await child.line(line => line.event === 100) as unknown as FleetEntry
    const entry = { id, child, callers, operators, peers, settings }
    this.entries.push(entry)
    return entry
  }

  /** Starts an entry again that has ended, on other ports. */
  async restartEntry (entry: FleetEntry): Promise<FleetEntry> {
    this.entries.splice(this.entries.indexOf(entry), 1)
    return await this.addEntry(entry.id)
  }

  /** Starts a worker again that has ended, on the same port. */
  async restartWorker (worker: FleetWorker): Promise<void> {
    worker.child = this.#start(worker.id, ['worker', worker.settings])
    await worker.child.line(line => line.event === 100)
  }

  /** Ends everything at once. */
  async stop (): Promise<void> {
    const running = this.#children.filter(each => each.running)
    for (const child of running) {
      child.signal('SIGKILL')
    }
    await Promise.all(running.map(each => each.ended()))
    rmSync(this.#folder, { recursive: true })
  }

  async #addWorker (id: string, service: string | undefined): Promise<void> {
    const words = service === undefined ? ['engine', JSON.stringify(this.#options.engine)] : ['plain', id]
    const upstream = this.#standIn(`${id}-upstream`, words)
    const upstreamUrl = await urlOf(upstream)
    const first = this.#write(id, this.#workerSettings(id, '127.0.0.1:0', upstreamUrl, service))
    const child = this.#start(id, ['worker', first])
    const address = String((await child.line(line => line.event === 100)).peers)
    const settings = this.#write(id, this.#workerSettings(id, address, upstreamUrl, service))
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
    return lines([
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
    return lines([
      '[process]', `id = ${id}`, `data_centre = ${this.#dataCentre(id)}`, 'region = region-1',
      '[listen]', `peers = ${address}`,
      '[node]', `id = ${id}`,
      '[upstream]', `kind = ${service === undefined ? 'engine' : 'service'}`, `url = ${upstream}`,
      '[entries]', `seeds = ${this.entries.map(each => each.peers).join(', ')}`,
      '[lease]', `period = ${period}`, `interval = ${interval}`, `skew = ${skew}`,
      '[observe]', 'level = debug'
    ])
  }

  /** The data centre of an entry or node, by the number at the end of its id. */
  #dataCentre (id: string): string {
    const number = Number(/\d+$/.exec(id)?.[0] ?? 1)
    return `dc-${(number - 1) % this.#options.dataCentres + 1}`
  }

  #write (id: string, text: string): string {
    const file = join(this.#folder, `${id}.ini`)
    writeFileSync(file, text)
    return file
  }

  #start (name: string, words: readonly string[]): Child {
    const child = new Child(name, daemonScript, words)
    this.#children.push(child)
    return child
  }

  #standIn (name: string, words: readonly string[]): Child {
    const child = new Child(name, standInScript, words)
    this.#children.push(child)
    return child
  }
}

/** SHA-256 of a secret, in hex. */
function sha256 (secret: string): string {
  return createHash('sha256').update(secret).digest('hex')
}

async function urlOf (child: Child): Promise<string> {
  return String((await child.line(line => typeof line.url === 'string')).url)
}

function names (prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_each, index) => `${prefix}-${index + 1}`)
}

function lines (all: readonly string[]): string {
  return `${all.join('\n')}\n`
}

/** New keys of a caller: one of each slot. Keys drawn at random leave out a slot in four of ten times. */
export function keysOfEachSlot (): string[] {
  const keys = new Map<number, string>()
  while (keys.size < slotCount) {
    const key = mintKey(Date.now())
    keys.set(readKey(key).unwrap().slot, key)
  }
  return [...keys.values()]
}
