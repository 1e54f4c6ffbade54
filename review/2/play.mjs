/**
 * One worker, the head of an open group, is partitioned from the store and from four of fourteen gateways for 5 s: from
 * the one that plans, and from the first three of the others by name. It serves streams of the other ten. The rule TWO is
 * checked at the workers.
 */
import { hasTrouble, heartbeatMs, pause, run, until } from '../common/site.mjs'
import { Links } from '../common/links.mjs'
import { WorkerSite } from '../common/workers.mjs'
import { configuration, models } from '../common/config.mjs'
import { send, steadily } from '../common/traffic.mjs'
import { entryHeader } from '../../platform/dist/test/standins/worker.js'

const cutTime = 8000
const engines = 13
const gateways = 14
const lapse = 3 * heartbeatMs

await run(import.meta.dirname, async deployment => {
  const links = new Links()
  const site = new WorkerSite(deployment.store)
  deployment.atEnd(() => {
    site.stop()
    links.stop()
  })
  await deployment.start(configuration())
  for (let index = 0; index < 2; index++) await site.addPlain()
  for (let index = 0; index < engines; index++) await site.addEngine(models)
  for (let index = 1; index <= gateways; index++) await deployment.addGateway({ id: `gateway-${String(index).padStart(2, '0')}`, storeAddressOf: port => links.add(`gateway-${String(index).padStart(2, '0')}`, port, deployment.store.port) })
  for (const each of deployment.gateways) await deployment.untilReady(each)
  const large = () => site.serving().filter(({ members }) => members.length === models[0].size)
  await until(() => large().length >= 2, 'two groups of the large model serve', 40_000)
  await pause(4000)
  const planner = deployment.gateways.filter(({ lines }) => lines.some(each => each.includes('planner-acts'))).at(-1)
  deployment.note(`${planner.id} plans the groups`)
  const [{ head: cut, members }] = large()
  const cutFrom = []
  /** Gateways whose streams the cut head serves: the time of the last event, by gateway. */
  const served = new Map()
  site.violations.push = text => {
    const now = performance.now()
    const active = [...served].filter(([id, at]) => !cutFrom.includes(id) && now - at < 100).map(([id]) => id)
    deployment.note(`${text}; ${cut.id} is ${cut.openMembers === undefined ? 'not open' : 'open'}, and in the last 100 ms has sent events of streams to ${active.join(' ') || 'nobody'}`)
    return Array.prototype.push.call(site.violations, text)
  }

  const serve = cut.serve.bind(cut)
  cut.serve = async (request, response, body) => {
    const write = response.write.bind(response)
    response.write = (...args) => {
      served.set(request.headers[entryHeader], performance.now())
      return write(...args)
    }
    await serve(request, response, body)
  }

  const stream = gateway => send(deployment, gateway, { path: '/chat/?events=240', headers: { [entryHeader]: gateway.id, 'x-eiderwind-model': 'large', 'x-eiderwind-token-usage': '700,300' } })
  const stops = deployment.gateways.map(each => steadily(2500, () => stream(each)))
  await pause(6000)
  deployment.note(`${cut.id} is the head of an open group: ${members.join(' ')}`)
  if (hasTrouble) await cutOff(cut)
  else await pause(cutTime)
  await pause(2000)
  await Promise.all(stops.map(stop => stop()))
  for (const each of planner.lines) if (/"(upstream-suspected|replica-decided|engine-order|upstream-departed)"/.test(each)) deployment.note(`log of ${planner.id}: ${each.slice(0, 320)}`)
  return site.violations

  /** Partitions the head from the store and from four gateways. It serves all others. */
  async function cutOff (head) {
    const others = deployment.gateways.filter(each => each !== planner).slice(0, 3)
    cutFrom.push(...[planner, ...others].map(each => each.id))
    const write = head.writeEntry.bind(head)
    await new Promise(resolve => {
      head.writeEntry = () => {
        write()
        head.writeEntry = write
        resolve()
      }
    })
    head.stopWrites()
    for (const each of [planner, ...others]) await links.cutWorker(each.id, head.address, true)
    deployment.note(`${head.id} is cut off from the store and from ${[planner, ...others].map(each => each.id).join(', ')}`)
    await pause(lapse)
    deployment.store.remove('servers', head.id)
    deployment.note(`the store drops the entry of ${head.id} after three heartbeats of silence`)
    await pause(cutTime - lapse)
    for (const each of [planner, ...others]) await links.cutWorker(each.id, head.address, false)
    head.resumeWrites()
    deployment.note(`the partition of ${head.id} ends`)
  }
})
