// Runs the tests. Failures that KNOWN-RED.txt lists are printed but not counted. Other failures are printed once more at
// the end, since only the end of a long output may be kept. The last line is `N passed, N failed`.
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'
import { detailsOf, judge, readKnownRed } from './knownred.js'

const entries = existsSync('KNOWN-RED.txt') ? readKnownRed(readFileSync('KNOWN-RED.txt', 'utf8')) : []
const run = spawnSync('npx', ['ava', '--tap', ...process.argv.slice(2)], { encoding: 'utf8', maxBuffer: 256 * 2 ** 20 })
const lines = run.stdout.split('\n')
const { passed, failed, excused, recovered } = judge(lines, entries)

process.stdout.write(run.stdout)
process.stderr.write(run.stderr)
for (const line of excused) process.stdout.write(`known red, passed over: ${line}\n`)
for (const line of recovered) process.stdout.write(`known red, passed: ${line}\n`)

for (const line of failed) process.stdout.write(`failed: ${[line, ...detailsOf(line, lines)].join('\n')}\n`)

// A run that was interrupted, or that failed without a failed test (for example in a hook or by a crash), counts as
// one failure.
const isComplete = lines.some(line => /^1\.\.\d+$/.test(line))
const isBroken = !isComplete || (run.status !== 0 && failed.length + excused.length === 0)
if (isBroken) process.stdout.write(`The test run is incomplete (status ${run.status}).\n`)
const failures = failed.length + (isBroken ? 1 : 0)
process.stdout.write(`${passed.length} passed, ${failures} failed\n`)
process.exitCode = failures > 0 || passed.length === 0 ? 1 : 0
