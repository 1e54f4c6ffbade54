/**
 * The machine of a replica's head is cut off from the gateways and from the store for 10 s. The head and the members of
 * its group run on and reach each other. Checks the rule TWO: no member takes a join of another group while the head of its
 * own group is open.
 */
import { fileURLToPath } from 'node:url'
import { configuration, models } from '../common/config.mjs'
import { hasTrouble, heartbeatMs, pause, run, until } from '../common/site.mjs'
import { send, steadily } from '../common/traffic.mjs'
import { WorkerSite } from '../common/workers.mjs'

/** Heartbeats of silence after which the store removes an entry (PROTOCOL, "Service discovery"). */
const lapseHeartbeats = 3

/** Length of the cut, in ms. */
const cutTime = 10_000

await run(fileURLToPath(new URL('.', import.meta.url)), async deployment => {
  const { store } = deployment
  await deployment.start(configuration())
  const site = new WorkerSite(store, { proxied: true })
  deployment.atEnd(() => site.stop())
  for (let count = 0; count < 8; count++) await site.addEngine(models)
  for (const id of ['front-1', 'front-2']) await deployment.addGateway({ id })
  for (const each of deployment.gateways) await deployment.untilReady(each)
  await until(() => site.serving().length >= 2, 'replicas serve')
  await pause(3000)
  const groups = site.serving()
  for (const { head, members } of groups) deployment.note(`group of ${head.id} is open: ${members.join(' ')}`)

  const stop = steadily(250, async () => {
    const sends = deployment.gateways.flatMap(gateway => models.map(({ name }) => send(deployment, gateway, { path: '/chat/?events=20', headers: { 'x-eiderwind-model': name } })))
    await Promise.all(sends)
  })
  await pause(2000)
  const { head, members } = groups[0]
  if (hasTrouble) {
    head.writeEntry()
    head.stopWrites()
    head.proxy.set({ kind: 'silent' })
    deployment.note(`${head.id} is cut off from the gateways and the store; its group: ${members.join(' ')}`)
    const lapse = setTimeout(() => {
      store.remove('servers', head.id)
      deployment.note(`the store removes the entry of ${head.id}`)
    }, lapseHeartbeats * heartbeatMs)
    deployment.atEnd(() => clearTimeout(lapse))
  }
  const violations = []
  for (const end = Date.now() + cutTime; Date.now() < end; await pause(20)) {
    for (const each of site.violations.splice(0)) {
      deployment.note(`${each} (${head.id} reports: open, ${head.openMembers?.join(' ') ?? 'not open'})`)
      violations.push(each)
    }
  }
  if (hasTrouble) {
    head.proxy.set({ kind: 'pass' })
    head.resumeWrites()
    deployment.note(`${head.id} is reached again`)
  }
  await pause(2000)
  await stop()
  for (const { id, lines } of deployment.gateways) {
    for (const line of lines) if (/"(replica-decided|engine-order|planner-acts)"/.test(line)) deployment.note(`log of ${id}: ${line}`)
  }
  return [...violations, ...site.violations].filter(each => each.startsWith('TWO'))
})
