/**
 * The command `eiderwindctl`, the operators' command line. It registers all commands with the parser, runs the chosen
 * one and returns its exit status. It relies on `Session` for calls to an entry.
 */
import sade, { type Sade } from 'sade'
import { printCapacity, printExpected, printLate } from './logreports.js'
import { liftBlock, printBlocks } from './blocks.js'
import { printExplanation } from './explaincommand.js'
import { commands, type Command, type Options } from './commands.js'
import { Session, type Print } from './session.js'
import { statuses, failureOf } from './usage.js'

const version = '0.1.0'

/** The options that every command accepts, with their help texts. */
const commonOptions = [
  ['--server', 'URL of an entry\'s operators\' address (or EIDERWIND_SERVER)'],
  ['--token-file', 'File with the operator\'s token (or EIDERWIND_TOKEN holds the token itself)'],
  ['--json', 'Write JSON, one object per line'],
  ['--revision', 'Make the change only if this is the current revision'],
  ['--operation', 'Id of this change; a change with the same id is made only once']
] as const

/** Functions that write the command's output and errors. */
export interface Output {
  readonly out: Print
  readonly error: Print
}

/** Writes to standard output and standard error. */
const processOutput: Output = {
  out: line => process.stdout.write(`${line}\n`),
  error: line => process.stderr.write(`${line}\n`)
}

/** Runs the command with the given arguments and returns its exit status. */
export async function main (args: string[], output: Output = processOutput): Promise<number> {
  let status: number | Promise<number> = statuses.usage
  const program = sade('eiderwindctl').version(version)
  for (const [flags, text] of commonOptions) program.option(flags, text, flags === '--json' ? false : undefined)
  for (const command of commands) {
    addCommand(program, command, (options, name) => { status = runCommand(command, options, name, output) })
  }
  program
    .command('explain <id> <file>')
    .describe('Explain from log files what happened to a request, a replica, an upstream or a revision, and why.')
    .option('--json', 'Write JSON, one object per line', false)
    .example('explain 9c41d07be2a35f68 entry-1.log entry-2.log')
    .action((id: string, file: string, options: { _: string[], json?: boolean }) => {
      status = printExplanation({ id, files: [file, ...options._], json: options.json === true }, output)
    })
  program
    .command('capacity <file>')
    .describe('Print for each second of the log files the engines by state and how many requests found no room.')
    .option('--json', 'Write JSON, one object per line', false)
    .example('capacity entry-1.log entry-2.log')
    .action((file: string, options: { _: string[], json?: boolean }) => {
      status = printCapacity({ files: [file, ...options._], json: options.json === true }, output)
    })
  program
    .command('late <file>')
    .describe('Print by route and by second of the log files what delayed late answers and how many requests got no answer.')
    .option('--json', 'Write JSON, one object per line', false)
    .example('late entry-1.log entry-2.log')
    .action((file: string, options: { _: string[], json?: boolean }) => {
      status = printLate({ files: [file, ...options._], json: options.json === true }, output)
    })
  program
    .command('expected <file>')
    .describe('Print the errors, in ms, of the forecast times of first events in the log files, by the inputs of the forecast.')
    .option('--json', 'Write JSON, one object per line', false)
    .example('expected entry-1.log entry-2.log')
    .action((file: string, options: { _: string[], json?: boolean }) => {
      status = printExpected({ files: [file, ...options._], json: options.json === true }, output)
    })
  program
    .command('blocks <gateway>')
    .describe('List the blocks of requests that crash upstreams, as a gateway knows them.')
    .option('--json', 'Write JSON, one object per line', false)
    .example('blocks 10.1.0.40:7340')
    .action((gateway: string, options: { json?: boolean }) => {
      status = printBlocks({ gateway, json: options.json === true }, output)
    })
  program
    .command('unblock <gateway> <id>')
    .describe('Lift a block at all gateways.')
    .option('--json', 'Write JSON, one object per line', false)
    .example('unblock 10.1.0.40:7340 5c1e07a291bd3f06')
    .action((gateway: string, id: string, options: { json?: boolean }) => {
      status = liftBlock(id, { gateway, json: options.json === true }, output)
    })
  const knownFlags = new Set(commands.flatMap(each => (each.options ?? []).map(option => option.flags)))
  for (const [flags] of commonOptions) knownFlags.add(flags)
  program.parse(args, {
    unknown: flag => knownFlags.has(flag) || flag === '-h' || flag === '--help' || flag === '-v' ? '' : `There is no option ${flag}.`,
    string: ['server', 'token-file', 'revision', 'operation', 'key-file', 'secret-file', 'engine', 'adapters', 'once']
  })
  return await status
}

function addCommand (program: Sade, command: Command, action: (options: Options, name: string) => void): void {
  program.command(command.usage).describe(command.text).example(command.example)
  for (const { flags, text, default: value } of command.options ?? []) program.option(flags, text, value)
  if (command.usage.includes('<')) program.action((name: string, options: Options) => action(options, name))
  else program.action((options: Options) => action(options, ''))
}

async function runCommand (command: Command, options: Options, name: string, output: Output): Promise<number> {
  try {
    await command.run(new Session(options, output.out), options, name)
    return statuses.ok
  } catch (error) {
    const { status, message } = failureOf(error)
    output.error(options.json === true ? JSON.stringify({ status, message }) : message)
    return status
  }
}
