/**
 * Runs one stand-in as a process: `standin.js platform`, `standin.js engine [options as JSON]` or `standin.js plain
 * NAME`. It prints its URL as a JSON line and ends on SIGTERM.
 */
import { EngineStandIn, type EngineOptions } from './engine.js'
import { type StandIn } from './http.js'
import { PlainStandIn } from './plainservice.js'
import { PlatformStandIn } from './platform.js'

const [kind, argument, port] = process.argv.slice(2)
const standIn = createStandIn(kind, argument)
await standIn.start(Number(port ?? 0))
process.stdout.write(`${JSON.stringify({ url: standIn.url })}\n`)
process.once('SIGTERM', () => { standIn.stop() })

function createStandIn (name: string, options: string | undefined): StandIn {
  switch (name) {
    case 'platform': return new PlatformStandIn()
    case 'engine': return new EngineStandIn(options === undefined ? {} : JSON.parse(options) as EngineOptions)
    case 'plain': return new PlainStandIn(options ?? 'receipt')
    default: throw new Error(`Unknown kind of stand-in "${name}". Use platform, engine or plain.`)
  }
}
