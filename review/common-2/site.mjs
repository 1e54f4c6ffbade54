/**
 * A small deployment on loopback: the store of the project's stand-ins, and gateways as processes of their own with the
 * command of the deploy file. Owns the processes that it starts and a temporary folder, and ends both, however the script
 * itself ends (see `review/common/guard.mjs`).
 */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { freePorts } from '../../platform/dist/test/standins/ports.js'
import { StoreStandIn } from '../../platform/dist/test/standins/store.js'
import { fill } from '../../platform/dist/test/standins/template.js'

const root = fileURLToPath(new URL('../..', import.meta.url))

/** The words of `run` in deploy/system.toml. */
const [program, ...words] = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))[1].split(' ')

const guard = spawn(process.execPath, [fileURLToPath(new URL('../common/guard.mjs', import.meta.url))], { stdio: ['pipe', 'ignore', 'ignore'], detached: true })
guard.stdin.on('error', () => {})
const guardEnd = new Promise(resolve => guard.on('exit', resolve))
const ends = new Set()

/** Has the process with this id end with this one, however this one ends. */
export function guardPid (pid) {
  guard.stdin.write(`+${pid}\n`)
}

/** Has a child process end with this one, however this one ends. */
export function guarded (child) {
  guardPid(child.pid)
  const end = new Promise(resolve => child.on('exit', resolve)).then(() => {
    ends.delete(end)
    guard.stdin.write(`-${child.pid}\n`)
  })
  ends.add(end)
  return child
}

/** The bounds of a small deployment. */
export const bounds = {
  drainMs: 2000, graceS: 8, strictRevoke: true, revokeMs: 5000, retryBudgetRatio: 0.2, retrySlack: 154, budgetWindowS: 10
}

/** A script that has not ended by then could not run, in ms. */
const longestRun = 110_000

/** Whether the disruption happens. */
export const isTroubled = process.env.TROUBLE !== '0'

export const key = 'key-of-one'
export const host = 'site.example'

export function pause (time) {
  return new Promise(resolve => setTimeout(resolve, time))
}

/** Waits until a condition holds. */
export async function until (condition, what, time = 20_000) {
  const end = Date.now() + time
  while (!await condition()) {
    if (Date.now() > end) throw new Error(`did not happen in time: ${what}`)
    await pause(20)
  }
}

/** The operator's configuration with these routes, each to the plain service unless it names another. */
export function configuration (routes, services = []) {
  const common = { host, priority: 1, maxAttempts: 2, public: false, targetLatencyMs: 300, service: 'plain' }
  return {
    version: 7,
    routes: routes.map(route => ({ ...common, ...route })),
    services: [{ name: 'plain', healthPath: '/health', maxConnections: 100, protocol: 'h1', tls: false }, ...services],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 10_000 },
    tenants: [{ name: 'one', apiKeys: [key] }]
  }
}

/** The record of a run, in `record.txt` beside the script. */
export class Record {
  #path
  #startedAt = Date.now()

  /** @param url that of the script */
  constructor (url) {
    this.#path = fileURLToPath(new URL('record.txt', url))
    writeFileSync(this.#path, '')
  }

  add (line) {
    appendFileSync(this.#path, `${((Date.now() - this.#startedAt) / 1000).toFixed(3)} ${line}\n`)
  }
}

/** The store and the gateways. */
export class Deployment {
  store = new StoreStandIn()
  gateways = []
  #folder = mkdtempSync(join(tmpdir(), 'eiderwind-review-'))

  constructor () {
    guard.stdin.write(`${this.#folder}\n`)
  }

  /** Lists a worker of the plain service. */
  list (id, port) {
    this.store.put('servers', id, { service: 'plain', address: `127.0.0.1:${port}`, zone: 'z1', version: 'v1', slots: 6, state: 'ready', coldRemainingMs: 0, seq: 1 })
  }

  async startGateway (id) {
    const [front, ready, peers, metrics] = await freePorts(4)
    const fields = {
      nodeName: id,
      zone: 'z1',
      region: 'r1',
      ip: '127.0.0.1',
      bootstrap: true,
      heartbeatMs: 1200,
      bounds,
      listen: { front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}` },
      internalPortRange: [peers, metrics],
      platform: { address: `127.0.0.1:${this.store.port}` }
    }
    const settings = join(this.#folder, `${id}.ini`)
    writeFileSync(settings, fill(readFileSync(join(root, 'platform/settings.ini'), 'utf8'), fields))
    const child = guarded(spawn(program, words, { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME, EIDERWIND_BOOT: settings }, stdio: ['ignore', 'pipe', 'inherit'] }))
    const gateway = { id, front, child, lines: [], ended: false }
    child.stdout.setEncoding('utf8').on('data', text => gateway.lines.push(...text.split('\n').filter(line => line !== '')))
    child.on('exit', () => { gateway.ended = true })
    this.gateways.push(gateway)
    const isReady = () => fetch(`http://127.0.0.1:${ready}/ready`).then(({ status }) => status === 200, () => false)
    await until(isReady, `${id} is ready`)
    return gateway
  }

  stop () {
    for (const { child, ended } of this.gateways) if (!ended) child.kill('SIGKILL')
    this.store.stop()
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

/**
 * Runs a case: exits with 1 if it finds that the rule was broken, with 0 if the rule held, with 2 if it could not run.
 * @param run gets the deployment and the record, and resolves to what broke the rule: a line for each
 * @param end ends what the case has started itself
 */
export async function main (url, run, end = () => {}) {
  const record = new Record(url)
  const deployment = new Deployment()
  const exit = async status => {
    end()
    deployment.stop()
    await Promise.race([Promise.all(ends), pause(5000)])
    guard.stdin.end()
    await guardEnd
    process.exit(status)
  }
  const fail = why => {
    record.add(`could not run: ${why}`)
    return exit(2)
  }
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => fail(`ended by ${signal}`))
  process.on('uncaughtException', error => fail(error.stack))
  setTimeout(() => fail('the case took too long'), longestRun)
  try {
    await deployment.store.start()
    record.add(isTroubled ? 'with the disruption' : 'without the disruption (TROUBLE=0)')
    const broken = await run(deployment, record)
    for (const each of broken) record.add(`BROKEN ${each}`)
    record.add(broken.length > 0 ? `the rule was broken ${broken.length} times` : 'the rule held')
    await exit(broken.length > 0 ? 1 : 0)
  } catch (error) {
    await fail(error.stack)
  }
}
