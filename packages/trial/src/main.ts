/**
 * The local trial. `npm start` starts real daemons on loopback, sends two requests and runs until Ctrl-C.
 * `npm start -- --once` ends after the answers.
 */
import { Fleet, modelName, plainName, trialKey, trialToken } from './fleet.js'

const fleet = new Fleet()
const once = process.argv.includes('--once')
const print = (line: string): void => { process.stdout.write(`${line}\n`) }
const signalled = new Promise(resolve => {
  process.once('SIGINT', resolve)
  process.once('SIGTERM', resolve)
})

try {
  print('Starting the platform stand-in, 2 entries, 4 workers with engine stand-ins, 3 workers with a plain service ...')
  await Promise.race([fleet.start(), signalled.then(() => { throw new Error('stopped by a signal during the start') })])
  const [entry] = fleet.entries
  await complete(entry.callers)
  await topUp(entry.callers)
  if (!once) {
    printInstructions()
    await signalled
  }
} catch (error) {
  print(`The trial failed: ${(error as Error).message}`)
  process.exitCode = 1
} finally {
  await fleet.stop()
}

async function complete (address: string): Promise<void> {
  const response = await fetch(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${trialKey}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: modelName, stream: true, messages: [{ role: 'user', content: 'Why did my recharge stall?' }] })
  })
  const text = await response.text()
  if (response.status !== 200 || !text.includes('[DONE]')) throw new Error(`the completion was answered ${response.status} ${text}`)
  const words = [...text.matchAll(/"content":"([^"]*)"/g)].map(each => each[1])
  print(`A streamed completion, ${words.length} tokens: ${words.join('')}`)
}

async function topUp (address: string): Promise<void> {
  const response = await fetch(`http://${address}/services/${plainName}/topups`, {
    method: 'POST',
    headers: { authorization: `Bearer ${trialKey}`, 'content-type': 'application/json' },
    body: JSON.stringify({ phone: '099123456', amount: 200 })
  })
  const text = await response.text()
  if (response.status !== 200) throw new Error(`the top-up was answered ${response.status} ${text}`)
  print(`Answer to a request that may run only once: ${text}`)
}

function printInstructions (): void {
  const [entry] = fleet.entries
  print('')
  for (const each of fleet.entries) print(`${each.id}: callers http://${each.callers}, operators http://${each.operators}`)
  print('')
  print('Try:')
  print(`  curl -N http://${entry.callers}/v1/chat/completions -H 'authorization: Bearer ${trialKey}' -d '{"model":"${modelName}","stream":true,"messages":[{"role":"user","content":"Hello"}]}'`)
  print(`  curl http://${entry.callers}/services/${plainName}/topups -H 'authorization: Bearer ${trialKey}' -d '{"amount":100}'`)
  print(`  EIDERWIND_TOKEN=${trialToken} npx eiderwindctl status --server http://${entry.operators}`)
  print('')
  print('Ctrl-C ends the trial.')
}
