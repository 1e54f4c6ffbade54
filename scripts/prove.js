// Applies each deliberate breakage in memory and checks that its test then fails: `npm run prove [-- NAME ...]`. Each
// test also runs without the breakage, and must pass. With PROVE_VERBOSE set, it prints the output of
// the tests whose breakage survives.
import { spawnSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { pathToFileURL } from 'node:url'
import { breakages } from '../prove/breakages.js'

/** Time-out of one test run, in ms. */
const testTimeout = 120_000

const wanted = process.argv.slice(2)
const chosen = breakages.filter(each => wanted.length === 0 || wanted.includes(each.name))
const hook = pathToFileURL('prove/hook.js').href

function run ({ name, test, title }, breakage) {
  const env = { ...process.env, EIDERWIND_BREAKAGE: breakage, NODE_OPTIONS: `--import=${hook}` }
  const { stdout } = spawnSync('npx', ['ava', '--tap', test, `--match=${title}`], { encoding: 'utf8', env, timeout: testTimeout, killSignal: 'SIGKILL', maxBuffer: 64 * 2 ** 20 })
  const lines = stdout.split('\n')
  const failed = lines.filter(line => /^not ok/.test(line))
  const passed = lines.filter(line => /^ok/.test(line))
  return { name, failed, passed, stdout }
}

function fits ({ file, find }) {
  return readFileSync(file, 'utf8').split(find).length === 2
}

let survived = 0
for (const breakage of chosen) {
  const green = run(breakage, '')
  const red = run(breakage, breakage.name)
  const isProved = fits(breakage) && green.failed.length === 0 && green.passed.length > 0 && red.failed.length > 0
  if (!isProved) survived++
  const reason = /^ {4}(message|assertion):\s*(.+)$/m.exec(red.stdout)?.[2] ?? ''
  process.stdout.write(`${isProved ? 'red' : 'NOT RED'} ${breakage.name}: ${breakage.rule} | ${red.failed[0] ?? 'no test failed'} ${reason}\n`)
  if (!isProved && process.env.PROVE_VERBOSE) process.stdout.write(green.stdout + red.stdout)
}
process.stdout.write(`${chosen.length - survived} of ${chosen.length} breakages turned their test red\n`)
process.exitCode = survived === 0 ? 0 : 1
