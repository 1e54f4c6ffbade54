/**
 * One of three gateways is cut off from the other two for 12 s, and the workers are cold for 3 s towards the end of it.
 * Checks the rule FAILBACK: a cold worker gets at most `coldPerS` x `coldOvershoot` + `coldSlack` requests within one second.
 */
import { fileURLToPath } from 'node:url'
import { configuration } from '../common/config.mjs'
import { Partition } from '../common/partition.mjs'
import { bounds, hasTrouble, heartbeatMs, pause, run, until } from '../common/site.mjs'
import { send, steadily } from '../common/traffic.mjs'
import { WorkerSite } from '../common/workers.mjs'

/** The bounds of a deployment with cold workers (demands, "Sehati"). */
const cold = { coldPerS: 32, coldStartS: 3, coldOvershoot: 1.5, coldSlack: 5 }
const bound = cold.coldPerS * cold.coldOvershoot + cold.coldSlack

const cutTime = 12_000
/** When the workers become cold, after the beginning of the cut, in ms. */
const coldAfter = 10_300

/** Time from which requests to a cold worker count here, in ms: its entry has to reach the gateways first. */
const known = 800

const model = { name: 'small', size: 2, load: 2000, warm: 1100 }

await run(fileURLToPath(new URL('.', import.meta.url)), async deployment => {
  const given = configuration()
  Object.assign(given.services[1], { coldPerS: cold.coldPerS, coldStartS: cold.coldStartS })
  given.services[1].engine.models = given.services[1].engine.models.filter(each => each.name === model.name)
  await deployment.start(given)
  const site = new WorkerSite(deployment.store)
  deployment.atEnd(() => site.stop())
  for (let count = 0; count < 2; count++) await site.addEngine([model])
  const partition = new Partition()
  deployment.atEnd(() => partition.stop())
  for (const id of ['front-1', 'front-2', 'front-3']) {
    const storeAddressOf = async peerPort => await partition.add(id, peerPort, deployment.store.port)
    await deployment.addGateway({ id, storeAddressOf, extra: { ...bounds, coldOvershoot: cold.coldOvershoot, coldSlack: cold.coldSlack } })
  }
  for (const each of deployment.gateways) await deployment.untilReady(each)
  await until(() => site.serving().length === 1, 'a replica serves')
  await pause(3000)
  const { head } = site.serving()[0]
  deployment.note(`the head is ${head.id}`)
  const stop = steadily(20, () => Promise.all([0, 2].map(index => send(deployment, deployment.gateways[index], { path: '/chat/?events=3', headers: { 'x-eiderwind-model': model.name } }))))
  await pause(1000)
  if (hasTrouble) {
    partition.isolate('front-3', true)
    deployment.note('front-3 is cut off from front-1 and front-2')
  }
  await pause(coldAfter)
  const coldAt = performance.now()
  head.makeCold(cold.coldStartS * 1000)
  deployment.note(`${head.id} is cold for ${cold.coldStartS} s`)
  await pause(cutTime - coldAfter)
  if (hasTrouble) {
    partition.isolate('front-3', false)
    deployment.note('the cut has ended')
  }
  await pause(cold.coldStartS * 1000)
  await stop()
  const times = site.arrivals.filter(each => each.worker === head && each.at >= coldAt + known && each.at < coldAt + cold.coldStartS * 1000).map(each => each.at - coldAt)
  const counts = times.map(begin => ({ begin, count: times.filter(each => each >= begin && each < begin + 1000).length }))
  const worst = counts.reduce((one, other) => other.count > one.count ? other : one, { begin: 0, count: 0 })
  deployment.note(`requests that reached ${head.id} in each tenth of a second since it became cold: ${Array.from({ length: 30 }, (_each, index) => site.arrivals.filter(({ worker, at }) => worker === head && Math.floor((at - coldAt) / 100) === index).length).join(' ')}`)
  deployment.note(`most within one second: ${worst.count}, from ${Math.round(worst.begin)} ms on; the bound is ${bound}; heartbeats of workers come every ${heartbeatMs} ms`)
  return worst.count > bound ? [`FAILBACK: ${worst.count} requests within one second, bound ${bound}`] : []
})
