/**
 * The command `eiderwind`. It runs an entry or a worker, or checks a settings file of any role. These two roles form a
 * system that has a worker beside each upstream. The gateway on the users' platform is another program
 * (`platform/src/main.ts`).
 */
import sade from 'sade'
import { problemLine, readSettings, type Role, type Settings } from '@eiderwind/settings'
import { run } from '@eiderwind/life'
import { entryDaemon, workerDaemon } from './roles.js'

const version = '0.1.0'

/** Exit statuses: success, and wrong arguments or settings. */
const ok = 0
const usageError = 2

/** Runs the command with the arguments of a command line (`process.argv`) and resolves to its exit status. */
export async function main (args: string[]): Promise<number> {
  let status: number | Promise<number> = usageError
  const program = sade('eiderwind').version(version)
  program
    .command('entry <file>')
    .describe('Run an entry: the process that serves callers and operators.')
    .example('entry /etc/eiderwind/entry.ini')
    .action((file: string) => { status = runRole('entry', file) })
  program
    .command('worker <file>')
    .describe('Run a worker: the process beside one engine or plain service.')
    .example('worker /etc/eiderwind/worker.ini')
    .action((file: string) => { status = runRole('worker', file) })
  program
    .command('check <file>')
    .describe('Check a settings file and list every problem. Without --role, the role is inferred from the sections.')
    .option('--role', 'entry, worker or direct')
    .example('check /etc/eiderwind/entry.ini')
    .action((file: string, options: { role?: string }) => { status = check(file, options.role) })
  program.parse(args)
  return await status
}

async function runRole (role: Role, file: string): Promise<number> {
  const settings = load(file, role)
  if (settings === undefined) return usageError
  if (settings.role === 'direct') return usageError
  return await run(settings.role === 'entry' ? entryDaemon(settings.entry) : workerDaemon(settings.worker))
}

function check (file: string, role: string | undefined): number {
  if (role !== undefined && role !== 'entry' && role !== 'worker' && role !== 'direct') {
    process.stderr.write(`--role takes entry, worker or direct, not ${role}.\n`)
    return usageError
  }
  const settings = load(file, role)
  if (settings === undefined) return usageError
  process.stdout.write(`${file}: the settings of role ${settings.role} are valid.\n`)
  return ok
}

function load (file: string, role: Role | undefined): Settings | undefined {
  const settings = readSettings(file, role)
  if (settings.isOk()) return settings.value
  for (const problem of settings.error) process.stderr.write(`${problemLine(problem)}\n`)
  return undefined
}
