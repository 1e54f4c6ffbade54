/**
 * A small deployment on loopback for the cases of this review: the project's stand-in of the store, plain workers, and
 * gateways that are started with the command of the deploy file.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, get } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('../../', import.meta.url))
const standins = new URL('../../platform/dist/test/standins/', import.meta.url)
const { StoreStandIn } = await import(new URL('store.js', standins))
export const { freePorts } = await import(new URL('ports.js', standins))
const { fill } = await import(new URL('template.js', standins))
export const { FaultProxy } = await import(new URL('proxy.js', standins))

/** The figures of the site coop-atitlan. */
export const bounds = { revokeMs: 5000, strictRevoke: 'true', drainMs: 2000, graceS: 8, stallMs: 6000, retryBudgetRatio: 0.2, retrySlack: 154, budgetWindowS: 10 }
export const heartbeatMs = 1200

export const pause = time => new Promise(resolve => setTimeout(resolve, time))

/** Exit statuses of a case. */
export const status = { held: 0, broken: 1, notRun: 2 }

/** Whether the case plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Writes what was sent, answered and run. */
export class Record {
  #file
  #begunAt = Date.now()

  constructor (folder) {
    this.#file = fileURLToPath(new URL('record.txt', folder))
    writeFileSync(this.#file, `TROUBLE=${hasTrouble ? 1 : 0}\n`)
  }

  write (line) {
    const time = ((Date.now() - this.#begunAt) / 1000).toFixed(3).padStart(8)
    appendFileSync(this.#file, `${time} s  ${line}\n`)
    process.stdout.write(`${time} s  ${line}\n`)
  }
}

/** A configuration: one host, and the routes and tenants of the case. */
export function configuration (routes, tenants = [{ name: 'growers', apiKeys: ['key-of-growers'] }]) {
  const common = { host: 'site.example', service: 'registro', priority: 2, maxAttempts: 2, public: false, timeoutMs: 1500, targetLatencyMs: 193 }
  return {
    version: 1,
    routes: routes.map(each => ({ ...common, ...each })),
    services: [{ name: 'registro', healthPath: '/health', maxConnections: 48, protocol: 'h1', tls: false }],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 5000, idleTimeoutMs: 20000 },
    tenants
  }
}

/** The store, plain workers and gateways. Ends every process that it started. */
export class Fleet {
  store = new StoreStandIn()
  gateways = []
  workers = []
  #folder = mkdtempSync(join(tmpdir(), 'eiderwind-review-'))
  #timers = []
  #children = []

  constructor () {
    process.on('exit', () => this.#killAll())
    for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(status.notRun))
  }

  /** @param serve answers a request at a worker of this process; not needed if there are none */
  async start ({ gateways, workers = 0, serve, config }) {
    await this.store.start()
    this.store.put('config', 'main', config)
    for (let index = 0; index < workers; index++) await this.#addWorker(`i-${index + 1}`, serve)
    const command = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))[1].split(' ')
    for (let index = 0; index < gateways; index++) await this.#addGateway(`front-${index + 1}`, command)
    for (const each of this.gateways) await this.#untilReady(each)
  }

  stop () {
    for (const timer of this.#timers) clearInterval(timer)
    this.#killAll()
    for (const { server } of this.workers) {
      server.close()
      server.closeAllConnections()
    }
    this.store.stop()
    rmSync(this.#folder, { recursive: true, force: true })
  }

  #killAll () {
    for (const child of [...this.gateways.map(each => each.child), ...this.#children]) if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
  }

  async #addWorker (id, serve) {
    const server = createServer((request, response) => {
      const requestId = request.headers['x-eiderwind-request-id']
      if (requestId !== undefined) response.setHeader('X-Eiderwind-Request-Id', requestId)
      const expected = request.headers['x-eiderwind-expect-instance']
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, { 'X-Eiderwind-Instance-Id': id }).end()
        return
      }
      response.setHeader('X-Eiderwind-Server-Stamp', `${id}.${requestId}`)
      serve(request, response, id)
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    this.register(id, server.address().port)
    this.workers.push({ id, server })
  }

  /** Keeps a worker's entry in the store. Returns a function that ends its heartbeats; its entry goes after three. */
  register (id, port, service = 'registro') {
    let seq = 0
    const beat = () => this.store.put('servers', id, { service, address: `127.0.0.1:${port}`, zone: 'sala-norte', version: 'v1', slots: 6, state: 'ready', coldRemainingMs: 0, seq: ++seq })
    beat()
    const timer = setInterval(beat, heartbeatMs)
    this.#timers.push(timer)
    return () => {
      clearInterval(timer)
      this.#timers.push(setTimeout(() => this.store.remove('servers', id), 3 * heartbeatMs))
    }
  }

  /** Has a process end with this one. */
  adopt (child) {
    this.#children.push(child)
    return child
  }

  async #addGateway (id, [program, ...words]) {
    const [front, ready, peers, metrics] = await freePorts(4)
    const settings = join(this.#folder, `${id}.ini`)
    writeFileSync(settings, fill(readFileSync(join(root, 'platform/settings.ini'), 'utf8'), {
      nodeName: id,
      zone: 'sala-norte',
      region: 'gt-central',
      bootstrap: true,
      ip: '127.0.0.1',
      listen: { front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}` },
      internalPortRange: [peers, metrics],
      heartbeatMs,
      platform: { address: `127.0.0.1:${this.store.port}` },
      bounds
    }))
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, words, { cwd: root, env: { PATH, HOME, LANG, EIDERWIND_BOOT: settings }, stdio: 'ignore' })
    this.gateways.push({ id, child, front, ready })
  }

  async #untilReady ({ id, ready }) {
    for (let tries = 0; tries < 200; tries++) {
      const answered = await new Promise(resolve => get({ host: '127.0.0.1', port: ready, path: '/ready' }, response => {
        response.resume()
        resolve(response.statusCode)
      }).on('error', () => resolve(0)))
      if (answered === 200) return
      await pause(100)
    }
    throw new Error(`${id} is not ready after 20 s.`)
  }
}

/** Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export async function runCase (folder, play) {
  const record = new Record(folder)
  const fleet = new Fleet()
  let result = status.notRun
  try {
    result = await play(fleet, record) ? status.held : status.broken
  } catch (error) {
    record.write(`The case could not run: ${error.stack}`)
  }
  fleet.stop()
  record.write(['The rule held.', 'The rule was broken.', 'The case could not run.'][result])
  process.exit(result)
}
