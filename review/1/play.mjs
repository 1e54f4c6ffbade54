/**
 * One worker, the head of an open group, is partitioned from the store and from one of four gateways for 5 s. That
 * gateway plans the groups, and alone has streams at the head. The rule TWO is checked at the workers.
 */
import { hasTrouble, heartbeatMs, pause, run, until } from '../common/site.mjs'
import { Links } from '../common/links.mjs'
import { WorkerSite } from '../common/workers.mjs'
import { configuration, models } from '../common/config.mjs'
import { send, steadily } from '../common/traffic.mjs'

const cutTime = 5000
const engines = 13
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
  for (const id of ['gateway-1', 'gateway-2', 'gateway-3', 'gateway-4']) await deployment.addGateway({ id, storeAddressOf: port => links.add(id, port, deployment.store.port) })
  for (const each of deployment.gateways) await deployment.untilReady(each)
  const large = () => site.serving().filter(({ members }) => members.length === models[0].size)
  await until(() => large().length >= 2, 'two groups of the large model serve', 40_000)
  await pause(3000)
  const planner = deployment.gateways.filter(({ lines }) => lines.some(each => each.includes('planner-acts'))).at(-1)
  const others = deployment.gateways.filter(each => each !== planner)
  deployment.note(`${planner.id} plans the groups`)
  // Notes each violation as it is seen.
  site.violations.push = text => {
    deployment.note(`${text}; open heads: ${site.serving().map(each => each.head.id).join(' ')}`)
    return Array.prototype.push.call(site.violations, text)
  }

  const stream = (gateway, model) => send(deployment, gateway, { path: '/chat/?events=60', headers: { 'x-eiderwind-model': model, 'x-eiderwind-token-usage': '700,300' } })
  const stops = [
    steadily(100, () => stream(planner, 'large')),
    ...others.map(each => steadily(400, () => stream(each, 'small'))),
    ...others.map(each => steadily(400, () => send(deployment, each, { path: '/safe/', deadline: 1500 })))
  ]
  await pause(3000)
  const { head, members } = large()[0]
  deployment.note(`${head.id} is the head of an open group: ${members.join(' ')}`)
  if (hasTrouble) await cutOff(head)
  else await pause(cutTime)
  await pause(3000)
  await Promise.all(stops.map(stop => stop()))
  for (const each of planner.lines) if (/"(upstream-suspected|replica-decided|engine-order|upstream-departed)"/.test(each)) deployment.note(`log of ${planner.id}: ${each.slice(0, 320)}`)
  return site.violations

  /** Partitions a head from the store and from the gateway that plans. It serves all others. */
  async function cutOff (head) {
    const isOpen = () => head.openMembers !== undefined
    // The store takes one more heartbeat, then the partition begins.
    const write = head.writeEntry.bind(head)
    await new Promise(resolve => {
      head.writeEntry = () => {
        write()
        head.writeEntry = write
        resolve()
      }
    })
    head.stopWrites()
    await links.cutWorker(planner.id, head.address, true)
    deployment.note(`${head.id} is cut off from the store and from ${planner.id}; its group is open: ${isOpen()}`)
    await pause(lapse)
    deployment.store.remove('servers', head.id)
    deployment.note(`the store drops the entry of ${head.id} after three heartbeats of silence; its group is open: ${isOpen()}`)
    await pause(cutTime - lapse)
    await links.cutWorker(planner.id, head.address, false)
    head.resumeWrites()
    deployment.note(`the partition of ${head.id} ends`)
  }
})
