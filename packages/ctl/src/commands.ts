/**
 * The commands of `eiderwindctl` that call an entry, as data: usage, options and the function to run. `index.ts`
 * registers them with the command-line parser, and `Session` holds the connection.
 */
import { type MessageInitShape } from '@bufbuild/protobuf'
import { AuditSchema, ConfigurationSchema, StatusSchema, type ServiceSchema } from '@eiderwind/rpc'
import { auditLines, configurationLines, statusLines } from './lines.js'
import { fileDigests, wholeNumber, type CommonOptions, type Session } from './session.js'
import { UsageError } from './usage.js'

/** Options as parsed from the command line. */
export type Options = CommonOptions & Readonly<Record<string, unknown>>

/** An option of a command: its flags, help text and default. */
export interface Option {
  readonly flags: string
  readonly text: string
  readonly default?: string | number | boolean
}

/** One command: its usage, help text, options, example, and the function that runs it. */
export interface Command {
  readonly usage: string
  readonly text: string
  readonly options?: readonly Option[]
  readonly example: string
  readonly run: (session: Session, options: Options, name: string) => Promise<void>
}

const boundOptions: readonly Option[] = [
  { flags: '--concurrency', text: 'Maximum number of requests that run at once in one replica or worker', default: 64 },
  { flags: '--queue', text: 'Maximum number of requests that wait there; further ones are refused', default: 256 }
]

/** Every command. */
export const commands: readonly Command[] = [
  {
    usage: 'configuration',
    text: 'Show the configuration.',
    options: [{ flags: '--watch', text: 'Keep running and show each later revision', default: false }],
    example: 'configuration --json',
    run: async (session, options) => {
      const show = (found: Awaited<ReturnType<typeof session.calls.readConfiguration>>): void => session.show(ConfigurationSchema, found, configurationLines)
      if (options.watch !== true) return show(await session.calls.readConfiguration({}))
      for await (const found of session.calls.watchConfiguration({})) show(found)
    }
  },
  {
    usage: 'service model <name>',
    text: 'Create or replace a model service.',
    options: [
      { flags: '--replicas', text: 'Number of replicas', default: 1 },
      { flags: '--members', text: 'Number of nodes in a replica', default: 4 },
      { flags: '--engine', text: 'Version that the engines load' },
      { flags: '--adapters', text: 'Adapters, separated by commas' },
      { flags: '--unchecked', text: 'The engine does not refuse orders with an old fencing token', default: false },
      ...boundOptions
    ],
    example: 'service model support --replicas 7 --members 4 --engine v12',
    run: async (session, options, name) => {
      const value = {
        replicas: numberOption('replicas', options),
        members: numberOption('members', options),
        version: listOption('engine', options)[0] ?? '',
        adapters: listOption('adapters', options),
        checksOrders: options.unchecked !== true,
        concurrency: numberOption('concurrency', options),
        queue: numberOption('queue', options)
      }
      await putService(session, { name, kind: { case: 'model', value } })
    }
  },
  {
    usage: 'service plain <name>',
    text: 'Create or replace a plain service.',
    options: [{ flags: '--once', text: 'Calls that must not be repeated, as METHOD:/path, separated by commas' }, ...boundOptions],
    example: 'service plain receipts --once POST:/topups,POST:/receipts',
    run: async (session, options, name) => {
      const routes = listOption('once', options).map(onceRoute)
      await putService(session, { name, kind: { case: 'plain', value: { routes, concurrency: numberOption('concurrency', options), queue: numberOption('queue', options) } } })
    }
  },
  {
    usage: 'service drop <name>',
    text: 'Remove a service.',
    example: 'service drop support --revision 12',
    run: async (session, _options, name) => session.showChange(await session.calls.dropService({ name, header: session.header }))
  },
  {
    usage: 'team put <name>',
    text: 'Create or replace a team.',
    options: [
      { flags: '--priority', text: 'Share of a full replica, relative to other teams, 1 to 100', default: 1 },
      { flags: '--key-file', text: 'File with the team\'s API keys, one per line; only their digests are sent' }
    ],
    example: 'team put counters --priority 10 --key-file keys.txt',
    run: async (session, options, name) => {
      const file = options['key-file']
      const keyDigests = typeof file === 'string' ? fileDigests(file) : []
      session.showChange(await session.calls.putTeam({ team: { name, priority: numberOption('priority', options), keyDigests }, header: session.header }))
    }
  },
  {
    usage: 'team drop <name>',
    text: 'Remove a team.',
    example: 'team drop counters',
    run: async (session, _options, name) => session.showChange(await session.calls.dropTeam({ name, header: session.header }))
  },
  {
    usage: 'operator put <name>',
    text: 'Create or replace an operator.',
    options: [{ flags: '--secret-file', text: 'File with the operator\'s token; only its digest is sent' }],
    example: 'operator put lucia --secret-file lucia.token',
    run: async (session, options, name) => {
      const file = options['secret-file']
      if (typeof file !== 'string') throw new UsageError('The new operator needs a token. Give --secret-file FILE.')
      session.showChange(await session.calls.putOperator({ operator: { name, tokenDigest: fileDigests(file)[0] }, header: session.header }))
    }
  },
  {
    usage: 'operator drop <name>',
    text: 'Remove an operator.',
    example: 'operator drop lucia',
    run: async (session, _options, name) => session.showChange(await session.calls.dropOperator({ name, header: session.header }))
  },
  {
    usage: 'leave <id>',
    text: 'Make a node or entry accept no new work and finish what it has; it is then replaced.',
    example: 'leave node-17',
    run: async (session, _options, id) => session.showChange(await session.calls.leave({ id, header: session.header }))
  },
  {
    usage: 'return <id>',
    text: 'Cancel a leave.',
    example: 'return node-17',
    run: async (session, _options, id) => session.showChange(await session.calls.return({ id, header: session.header }))
  },
  {
    usage: 'status',
    text: 'Show the present state of every entry, replica and node.',
    example: 'status --json',
    run: async session => session.show(StatusSchema, await session.calls.readStatus({}), statusLines)
  },
  {
    usage: 'audit',
    text: 'Show every accepted change: who made it, what, when, and the revisions before and after it.',
    options: [{ flags: '--after', text: 'Only changes that led to revisions above this one', default: 0 }],
    example: 'audit --after 100',
    run: async (session, options) => session.show(AuditSchema, await session.calls.readAudit({ after: wholeNumber('after', String(options.after)) }), auditLines)
  }
]

async function putService (session: Session, service: MessageInitShape<typeof ServiceSchema>): Promise<void> {
  session.showChange(await session.calls.putService({ service, header: session.header }))
}

function numberOption (name: string, options: Options): number {
  return Number(wholeNumber(name, String(options[name])))
}

function listOption (name: string, options: Options): string[] {
  const value = options[name]
  if (value === undefined || value === '') return []
  return String(value).split(',').map(each => each.trim())
}

function onceRoute (text: string): { method: string, path: string, repeatable: boolean } {
  const colon = text.indexOf(':')
  if (colon <= 0) throw new UsageError(`--once takes METHOD:/path, not "${text}".`)
  return { method: text.slice(0, colon).toUpperCase(), path: text.slice(colon + 1), repeatable: false }
}
