/** The command `eiderwindctl`: the operators' command line. */
import sade, { type Sade } from 'sade'
import { accountFiles, expectedFiles, lateFiles } from './accounting.js'
import { explainFiles } from './explaining.js'
import { commands, type Command, type Options } from './commands.js'
import { Session, type Print } from './session.js'
import { statuses, verdict } from './usage.js'

const version = '0.1.0'

/** The options that every command takes, as the help shows them. */
const common = [
  ['--server', 'URL of an entry\'s operators\' address (or EIDERWIND_SERVER)'],
  ['--token-file', 'File with the operator\'s token (or EIDERWIND_TOKEN holds the token itself)'],
  ['--json', 'Write JSON, one object a line'],
  ['--revision', 'Make the change only if this is the present revision'],
  ['--operation', 'Id of this change; the same id again never makes it twice']
] as const

/** Where the command writes. */
export interface Output {
  readonly out: Print
  readonly error: Print
}

/** Writes to the process's own streams. */
const standard: Output = {
  out: line => process.stdout.write(`${line}\n`),
  error: line => process.stderr.write(`${line}\n`)
}

/** Runs the command with the words of a command line and gives its exit status. */
export async function main (words: string[], output: Output = standard): Promise<number> {
  let status: number | Promise<number> = statuses.usage
  const program = sade('eiderwindctl').version(version)
  for (const [flags, text] of common) program.option(flags, text, flags === '--json' ? false : undefined)
  for (const command of commands) {
    add(program, command, (options, name) => { status = runCommand(command, options, name, output) })
  }
  program
    .command('explain <id> <file>')
    .describe('Tell the story of a request, a replica, an upstream or a revision from the logs in files, and its cause.')
    .option('--json', 'Write JSON, one object a line', false)
    .example('explain 9c41d07be2a35f68 entry-1.log entry-2.log')
    .action((id: string, file: string, options: { _: string[], json?: boolean }) => {
      status = explainFiles({ id, files: [file, ...options._], json: options.json === true }, output)
    })
  program
    .command('capacity <file>')
    .describe('Print, for each second of the logs in files, what the engines did and how many requests found no room.')
    .option('--json', 'Write JSON, one object a line', false)
    .example('capacity entry-1.log entry-2.log')
    .action((file: string, options: { _: string[], json?: boolean }) => {
      status = accountFiles({ files: [file, ...options._], json: options.json === true }, output)
    })
  program
    .command('late <file>')
    .describe('Print, by route and by second of the logs in files, what late answers lost their time to and how many requests got none.')
    .option('--json', 'Write JSON, one object a line', false)
    .example('late entry-1.log entry-2.log')
    .action((file: string, options: { _: string[], json?: boolean }) => {
      status = lateFiles({ files: [file, ...options._], json: options.json === true }, output)
    })
  program
    .command('expected <file>')
    .describe('Print how far off the expected times of first events were in the logs in files, in ms, by what they rested on.')
    .option('--json', 'Write JSON, one object a line', false)
    .example('expected entry-1.log entry-2.log')
    .action((file: string, options: { _: string[], json?: boolean }) => {
      status = expectedFiles({ files: [file, ...options._], json: options.json === true }, output)
    })
  const known = new Set(commands.flatMap(each => (each.options ?? []).map(option => option.flags)))
  for (const [flags] of common) known.add(flags)
  program.parse(words, {
    unknown: flag => known.has(flag) || flag === '-h' || flag === '--help' || flag === '-v' ? '' : `There is no option ${flag}.`,
    string: ['server', 'token-file', 'revision', 'operation', 'key-file', 'secret-file', 'engine', 'adapters', 'once']
  })
  return await status
}

function add (program: Sade, command: Command, act: (options: Options, name: string) => void): void {
  program.command(command.usage).describe(command.text).example(command.example)
  for (const { flags, text, default: value } of command.options ?? []) program.option(flags, text, value)
  if (command.usage.includes('<')) program.action((name: string, options: Options) => act(options, name))
  else program.action((options: Options) => act(options, ''))
}

async function runCommand (command: Command, options: Options, name: string, output: Output): Promise<number> {
  try {
    await command.run(new Session(options, output.out), options, name)
    return statuses.ok
  } catch (error) {
    const { status, message } = verdict(error)
    output.error(options.json === true ? JSON.stringify({ status, message }) : message)
    return status
  }
}
