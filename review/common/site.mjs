/**
 * A small deployment on loopback for the cases of the review: the store's stand-in of this repository, gateways that
 * are started by the command of the deploy file, and a record of what was seen. Workers are in `workers.mjs`.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { freePorts } from '../../platform/dist/test/standins/ports.js'
import { StoreStandIn } from '../../platform/dist/test/standins/store.js'
import { fill } from '../../platform/dist/test/standins/template.js'

const root = fileURLToPath(new URL('../../', import.meta.url))

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Bounds of a small deployment (DEPLOY, "Settings of a process"). */
export const bounds = { revokeMs: 5000, strictRevoke: true, drainMs: 2000, graceS: 8, retryBudgetRatio: 0.2, retrySlack: 160, budgetWindowS: 10, stallMs: 6000 }

/** Time between two heartbeats of a worker, in ms. */
export const heartbeatMs = 1200

export const pause = time => new Promise(resolve => setTimeout(resolve, time))

/** Waits until a condition holds. Throws after `time` ms. */
export async function until (condition, what, time = 25_000) {
  const end = Date.now() + time
  while (!await condition()) {
    if (Date.now() > end) throw new Error(`Did not happen in time: ${what}`)
    await pause(20)
  }
}

/** The status of a GET; 0 without an answer. */
export function statusOf (port, path) {
  return new Promise(resolve => {
    const request = get({ host: '127.0.0.1', port, path, timeout: 1000 }, response => {
      response.resume()
      resolve(response.statusCode)
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(0))
  })
}

const guard = spawn(process.execPath, [fileURLToPath(new URL('guard.mjs', import.meta.url))], { stdio: ['pipe', 'ignore', 'ignore'] })
guard.stdin.on('error', () => {})
guard.unref()
guard.stdin.unref()

/** Has a process end with this one, however this one ends. */
export function guarded (child) {
  guard.stdin.write(`+${child.pid}\n`)
  child.once('exit', () => guard.stdin.write(`-${child.pid}\n`))
  return child
}

/** The deployment of one case. */
export class Deployment {
  store = new StoreStandIn()
  gateways = []
  #folder = mkdtempSync(join(tmpdir(), 'eiderwind-review-'))
  #lines = []
  #begunAt = performance.now()
  #version = 1
  #stops = []
  /** Every process of a gateway that was started, also those that have ended. */
  #children = []

  constructor () {
    guard.stdin.write(`${this.#folder}\n`)
    // Runs at each end of the script but a SIGKILL, for which there is the guard: nothing that it started may outlast it.
    process.on('exit', () => this.#endNow())
  }

  /** Writes a line into the record. */
  note (text) {
    const line = `${((performance.now() - this.#begunAt) / 1000).toFixed(3).padStart(8)} s  ${text}`
    this.#lines.push(line)
  }

  /** Stores the record. */
  save (folder) {
    writeFileSync(join(folder, 'record.txt'), this.#lines.join('\n') + '\n')
  }

  async start (configuration) {
    await this.store.start()
    this.configure(configuration)
  }

  /** Writes a configuration, as the operator does. */
  configure (configuration) {
    this.store.put('config', 'main', structuredClone({ ...configuration, version: this.#version }))
    this.note(`the store acknowledges version ${this.#version} of the configuration`)
    this.#version += 3
  }

  /** Has something stopped at the end. */
  atEnd (stop) {
    this.#stops.push(stop)
  }

  /** @param storeAddressOf returns the address at which the gateway reaches the store, given its port for other gateways */
  async addGateway ({ id, zone = 'zone-1', storeAddressOf = () => `127.0.0.1:${this.store.port}`, extra = {} }) {
    const [callerPort, healthPort, peerPort, metricsPort] = await freePorts(4)
    const storeAddress = await storeAddressOf(peerPort)
    const fields = {
      nodeName: id,
      zone,
      region: 'region-1',
      bootstrap: true,
      ip: '127.0.0.1',
      listen: { front: `127.0.0.1:${callerPort}`, ready: `127.0.0.1:${healthPort}` },
      internalPortRange: [peerPort, metricsPort],
      heartbeatMs,
      platform: { address: storeAddress },
      bounds: { ...bounds, ...extra }
    }
    const gateway = { id, callerPort, healthPort, metricsPort, peerPort, fields, settings: join(this.#folder, `${id}.ini`), lines: [], child: undefined, ends: 0 }
    this.gateways.push(gateway)
    this.launch(gateway)
    return gateway
  }

  /** Starts the process of a gateway by the command of the deploy file. */
  launch (gateway) {
    const { settings, fields, lines } = gateway
    const template = readFileSync(join(root, 'platform/settings.ini'), 'utf8')
    writeFileSync(settings, fill(template, fields))
    const [, command] = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))
    const [program, ...args] = command.split(' ')
    const { PATH, HOME, LANG } = process.env
    const child = guarded(spawn(program, args, { cwd: root, env: { PATH, HOME, LANG, EIDERWIND_BOOT: settings }, stdio: ['ignore', 'pipe', 'pipe'] }))
    gateway.child = child
    this.#children.push(child)
    for (const stream of [child.stdout, child.stderr]) {
      let rest = ''
      stream.setEncoding('utf8').on('data', text => {
        const parts = (rest + text).split('\n')
        rest = parts.pop()
        lines.push(...parts)
      })
    }
    this.note(`${gateway.id} starts`)
  }

  async untilReady (gateway) {
    await until(async () => await statusOf(gateway.healthPort, '/ready') === 200, `${gateway.id} is ready`)
    this.note(`${gateway.id} is ready`)
  }

  #endNow () {
    for (const child of this.#children) {
      if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
    }
    rmSync(this.#folder, { recursive: true, force: true })
  }

  async stop () {
    for (const stop of this.#stops) await stop()
    for (const { child } of this.gateways) {
      if (child === undefined || child.exitCode !== null || child.signalCode !== null) continue
      const ended = once(child, 'exit')
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      await ended
    }
    this.store.stop()
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

/**
 * Runs a case. `play` returns the violations of the rule. Exits with 0 if there are none, with 1 if there are, and with 2 if
 * the case could not run.
 */
export async function run (folder, play) {
  const deployment = new Deployment()
  let status = 2
  const end = why => {
    deployment.note(`could not run: ${why}`)
    deployment.save(folder)
    process.exit(2)
  }
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => end(`ended by ${signal}`))
  process.on('uncaughtException', error => end(error.message))
  process.on('unhandledRejection', error => end(String(error)))
  const limit = setTimeout(() => end('the case took too long'), 115_000)
  try {
    const violations = await play(deployment)
    for (const each of violations) deployment.note(`VIOLATION ${each}`)
    deployment.note(violations.length === 0 ? 'The rule held.' : `The rule was broken: ${violations.length} violations.`)
    console.log(violations.length === 0 ? 'held' : `broken: ${violations[0]}`)
    status = violations.length === 0 ? 0 : 1
  } catch (error) {
    deployment.note(`could not run: ${error.message}`)
    for (const { id, child, lines } of deployment.gateways) {
      deployment.note(`${id}: exit code ${child?.exitCode ?? 'none'}`)
      for (const each of lines.slice(-10)) deployment.note(`log of ${id}: ${each}`)
    }
    console.log(`could not run: ${error.message}`)
  }
  await deployment.stop()
  clearTimeout(limit)
  deployment.save(folder)
  process.exit(status)
}
