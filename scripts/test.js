// Runs the tests, passes over those that KNOWN-RED.txt names, and closes with `N passed, N failed`.
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'

const mostKnownRed = 3

/** Titles of tests that fail for a known fault: `title | cause | issue`, one a line. */
function knownRed () {
  if (!existsSync('KNOWN-RED.txt')) return []
  return readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.trim() !== '' && !line.startsWith('#')).map(line => line.split(' | ')[0].trim())
}

const run = spawnSync('npx', ['ava', '--tap', ...process.argv.slice(2)], { encoding: 'utf8', maxBuffer: 256 * 2 ** 20 })
const red = knownRed()
const lines = run.stdout.split('\n')
const passed = lines.filter(line => /^ok \d+ - /.test(line) && !line.includes('# SKIP'))
const failed = lines.filter(line => /^not ok \d+ - /.test(line))
const excused = failed.filter(line => red.some(title => line.endsWith(title)))
const counted = failed.filter(line => !excused.includes(line))

process.stdout.write(run.stdout)
process.stderr.write(run.stderr)
for (const line of excused) process.stdout.write(`known red, passed over: ${line}\n`)
if (red.length > mostKnownRed) process.stdout.write(`KNOWN-RED.txt names ${red.length} tests; ${mostKnownRed} are the most.\n`)
process.stdout.write(`${passed.length} passed, ${counted.length} failed\n`)

const explained = run.status === 0 || excused.length > 0
process.exitCode = counted.length > 0 || passed.length === 0 || !explained || red.length > mostKnownRed ? 1 : 0
