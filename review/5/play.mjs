/**
 * Many users come at once, each with a request as long as the configuration permits. The platform ends a process that
 * exceeds its memory, as DEPLOY says, and starts it again. Checks the rule on faults: processes do not end three times on
 * two machines or more.
 */
import { randomBytes } from 'node:crypto'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { request } from 'node:http'
import { fileURLToPath } from 'node:url'
import { configuration, keys, models } from '../common/config.mjs'
import { hasTrouble, pause, run, until } from '../common/site.mjs'
import { send, steadily } from '../common/traffic.mjs'
import { WorkerSite } from '../common/workers.mjs'

/** `limits.memoryMb` of a front machine (DEPLOY, "Settings of a process"). */
const memoryMb = 350

/** Users of a burst at one machine, and the rate of each: together the rate of the machine's link, 1,000 Mbit/s. */
const users = 60
const bytesPerSecond = 125e6 / users

const bursts = 3
const pieceBytes = 64 * 1024
const restartTime = 300

/** The resident memory of a process, in MB; 0 if it has ended. */
function memoryOf ({ pid }) {
  try {
    return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / 1024
  } catch {
    return 0
  }
}

/** The platform's part: ends a process that exceeds its memory, and starts it again. Returns the function that ends this. */
function superviseMemory (deployment, gateway) {
  gateway.most = 0
  const timer = setInterval(() => {
    const { child } = gateway
    if (child.exitCode !== null || child.signalCode !== null || gateway.isEnding) return
    const memory = memoryOf(child)
    gateway.most = Math.max(gateway.most, memory)
    if (memory <= memoryMb) return
    gateway.isEnding = true
    gateway.ends++
    deployment.note(`${gateway.id} holds ${Math.round(memory)} MB, more than ${memoryMb}: the platform ends it, for the ${gateway.ends}. time`)
    once(child, 'exit').then(async () => {
      await pause(restartTime)
      deployment.launch(gateway)
      gateway.isEnding = false
    })
    child.kill('SIGKILL')
  }, 20)
  return () => clearInterval(timer)
}

/** Sends a request with a long body at the rate of one user. Resolves with what came of it. */
function sendLong ({ callerPort: port }, bytes, model) {
  return new Promise(resolve => {
    const headers = { host: 'site.example', 'x-eiderwind-request-id': randomBytes(8).toString('hex'), 'x-eiderwind-deadline-ms': '8000', 'x-eiderwind-credential': keys.one, 'x-eiderwind-model': model, 'content-length': bytes }
    const outgoing = request({ host: '127.0.0.1', port, path: '/chat/?events=5', method: 'POST', headers }, response => {
      response.resume()
      response.on('error', () => resolve('cut'))
      response.on('end', () => resolve(response.complete ? String(response.statusCode) : 'cut'))
    })
    outgoing.on('error', () => resolve('no answer'))
    const piece = Buffer.alloc(pieceBytes, 'x')
    let left = bytes
    const timer = setInterval(() => {
      const next = piece.subarray(0, Math.min(left, pieceBytes))
      left -= next.length
      if (left > 0) return outgoing.write(next)
      clearInterval(timer)
      outgoing.end(next)
    }, pieceBytes / bytesPerSecond * 1000)
    outgoing.on('close', () => clearInterval(timer))
  })
}

function countEach (values) {
  const counts = new Map()
  for (const each of values) counts.set(each, (counts.get(each) ?? 0) + 1)
  return [...counts].map(([value, count]) => `${value}: ${count}`).join(', ')
}

await run(fileURLToPath(new URL('.', import.meta.url)), async deployment => {
  const given = configuration()
  await deployment.start(given)
  const site = new WorkerSite(deployment.store)
  deployment.atEnd(() => site.stop())
  for (let count = 0; count < 8; count++) await site.addEngine(models)
  for (const id of ['front-1', 'front-2']) await deployment.addGateway({ id })
  for (const each of deployment.gateways) {
    await deployment.untilReady(each)
    // Only its first start is the first one of the whole system.
    each.fields.bootstrap = false
    deployment.atEnd(superviseMemory(deployment, each))
  }
  await until(() => site.serving().length >= 2, 'replicas serve')
  await pause(3000)
  const stop = steadily(200, async () => await Promise.all(deployment.gateways.map(async gateway => await send(deployment, gateway, { path: '/chat/?events=20', headers: { 'x-eiderwind-model': 'small' } }))))
  const { maxBodyBytes } = given.limits
  for (let burst = 1; burst <= bursts; burst++) {
    await pause(2000)
    deployment.note(`burst ${burst}: ${users} users at each gateway, ${hasTrouble ? 'at once' : 'one after the other'}, ${maxBodyBytes} bytes each`)
    await Promise.all(deployment.gateways.map(async gateway => {
      const sends = []
      for (let index = 0; index < users; index++) {
        sends.push(sendLong(gateway, maxBodyBytes, models[index % models.length].name))
        if (!hasTrouble) await pause(120)
      }
      deployment.note(`${gateway.id}: ${countEach(await Promise.all(sends))}; most memory so far ${Math.round(gateway.most)} MB`)
    }))
    for (const each of deployment.gateways) await deployment.untilReady(each)
  }
  await stop()
  const often = deployment.gateways.filter(each => each.ends >= bursts)
  deployment.note(`ends over the memory limit: ${deployment.gateways.map(each => `${each.id} ${each.ends}`).join(', ')}`)
  return often.length >= 2 ? often.map(each => `Fault: ${each.id} ended ${each.ends} times over its memory limit`) : []
})
