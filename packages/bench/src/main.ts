/**
 * `npm run bench [-- PART ...] [--write]`: prints each figure as a line of JSON. `--write` also updates
 * docs/results.json.
 */
import { measureControl } from './control.js'
import { measureDecisions } from './decisions.js'
import { Figures } from './figures.js'
import { measurePath } from './path.js'
import { measureStreams } from './streams.js'

const parts: Readonly<Record<string, (figures: Figures) => void | Promise<void>>> = {
  decisions: measureDecisions,
  path: measurePath,
  control: measureControl,
  streams: measureStreams
}

const words = process.argv.slice(2)
const chosen = words.filter(each => !each.startsWith('--'))
const unknown = chosen.filter(each => !(each in parts))
if (unknown.length > 0) {
  process.stderr.write(`There is no part ${unknown.join(', ')}. The parts are ${Object.keys(parts).join(', ')}.\n`)
  process.exit(2)
}
const figures = new Figures(words.includes('--write'))
for (const name of chosen.length > 0 ? chosen : Object.keys(parts)) await parts[name](figures)
process.exit(0)
