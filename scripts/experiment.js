// Compares variants of the planner's decisions with the present code on the same simulated days and seeds:
// `npm run experiment -- [--seeds N] [--jobs N] [--day NAME ...] [--variant NAME ...]`.
// Writes a table in Markdown to standard output.
import { spawn } from 'node:child_process'
import { readdirSync } from 'node:fs'
import { pathToFileURL } from 'node:url'
import { parseArgs } from 'node:util'
import { variants } from '../experiments/variants.js'

const { values: options } = parseArgs({
  options: {
    seeds: { type: 'string', default: '100' },
    jobs: { type: 'string', default: '2' },
    day: { type: 'string', multiple: true },
    variant: { type: 'string', multiple: true }
  }
})
const days = options.day ?? readdirSync('experiments/days').map(each => each.replace(/\.json$/, ''))
const names = options.variant ?? Object.keys(variants)
const unknown = names.find(each => variants[each] === undefined)
if (unknown !== undefined) {
  process.stderr.write(`There is no variant "${unknown}". Give one of: ${Object.keys(variants).join('; ')}.\n`)
  process.exit(2)
}

/** Simulates a day with all seeds. @param variant the variant to apply; empty for the present code */
function simulate (day, variant) {
  return new Promise((resolve, reject) => {
    const hook = pathToFileURL('experiments/hook.js').href
    const child = spawn(process.execPath, [`--import=${hook}`, 'packages/emulator/dist/src/main.js', `experiments/days/${day}.json`, '1', options.seeds], { env: { ...process.env, EIDERWIND_VARIANT: variant }, stdio: ['ignore', 'pipe', 'inherit'] })
    let text = ''
    child.stdout.on('data', chunk => { text += chunk })
    child.on('close', status => status === 0 ? resolve(text.trim().split('\n').map(line => JSON.parse(line))) : reject(new Error(`The run of "${variant}" on ${day} ended with status ${status}.`)))
  })
}

function mean (values) {
  return values.reduce((sum, each) => sum + each, 0) / values.length
}

/** The mean of values and its standard error, as text. */
function meanWithError (values) {
  const average = mean(values)
  const variance = mean(values.map(each => (each - average) ** 2)) * values.length / Math.max(1, values.length - 1)
  return `${average >= 0 ? '+' : ''}${average.toFixed(3)} ± ${Math.sqrt(variance / values.length).toFixed(3)}`
}

const columns = ['served', 'worst', 'worstModel', 'used', 'loads', 'orders', 'broken']
const tasks = days.flatMap(day => ['', ...names].map(variant => ({ day, variant })))
const results = new Map()
await Promise.all(Array.from({ length: Number(options.jobs) }, async () => {
  for (let task = tasks.shift(); task !== undefined; task = tasks.shift()) results.set(`${task.day} ${task.variant}`, await simulate(task.day, task.variant))
}))
process.stdout.write(`| Day | Variant | Served, against the present code | ${columns.join(' | ')} |\n|${' --- |'.repeat(columns.length + 3)}\n`)
for (const day of days) {
  const present = results.get(`${day} `)
  for (const variant of ['', ...names]) {
    const rows = results.get(`${day} ${variant}`)
    const difference = variant === '' ? '' : meanWithError(rows.map((row, index) => row.served - present[index].served))
    const means = columns.map(column => mean(rows.map(row => row[column])).toFixed(column === 'loads' || column === 'orders' ? 0 : 3))
    process.stdout.write(`| ${day} | ${variant === '' ? 'present' : variant} | ${difference} | ${means.join(' | ')} |\n`)
  }
}
