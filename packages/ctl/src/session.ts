/**
 * One run of a command: the connection to an entry, the operator's token, and the output of results. It reads tokens
 * and secrets from files or the environment and never prints them.
 */
import { createHash, randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { create, toJson, type DescMessage, type MessageShape } from '@bufbuild/protobuf'
import { createClient, type Client, type Interceptor } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { ChangeHeaderSchema, ChangeResponseSchema, Operators, type ChangeHeader, type ChangeResponse } from '@eiderwind/rpc'
import { UsageError } from './usage.js'

/** The options that every command accepts. */
export interface CommonOptions {
  readonly server?: string
  readonly 'token-file'?: string
  readonly json?: boolean
  readonly revision?: string | number
  readonly operation?: string
}

/** Writes one line of output. */
export type Print = (line: string) => void

/** One run of the command. Owns the connection to an entry and writes results. */
export class Session {
  readonly calls: Client<typeof Operators>
  readonly #options: CommonOptions
  readonly #print: Print

  constructor (options: CommonOptions, print: Print) {
    this.#options = options
    this.#print = print
    const server = options.server ?? process.env.EIDERWIND_SERVER
    if (server === undefined) throw new UsageError('No server given. Give --server http://host:port or set EIDERWIND_SERVER.')
    if (!URL.canParse(server)) throw new UsageError(`"${server}" is not a URL. Give --server as http://host:port.`)
    const token = readToken(options['token-file'])
    const interceptor: Interceptor = next => request => {
      request.header.set('authorization', `Bearer ${token}`)
      return next(request)
    }
    this.calls = createClient(Operators, createConnectTransport({ baseUrl: server, httpVersion: '1.1', interceptors: [interceptor] }))
  }

  /** The header of a change: the required revision and an operation id. */
  get header (): ChangeHeader {
    const { revision, operation } = this.#options
    return create(ChangeHeaderSchema, {
      operation: operation ?? randomUUID(),
      revision: revision === undefined ? undefined : wholeNumber('revision', revision)
    })
  }

  /** Writes a message as JSON with `--json`, otherwise as the text that `lines` returns. */
  show<Schema extends DescMessage> (schema: Schema, message: MessageShape<Schema>, lines: (message: MessageShape<Schema>) => string[]): void {
    if (this.#options.json === true) this.#print(JSON.stringify(toJson(schema, message, { alwaysEmitImplicit: true })))
    else for (const line of lines(message)) this.#print(line)
  }

  /** Writes the result of a change. */
  showChange (response: ChangeResponse): void {
    this.show(ChangeResponseSchema, response, ({ revision, peers }) => [`Accepted as revision ${revision}; ${peers} other entries have received it.`])
  }
}

/** Parses a whole number of 0 or more from the command line. */
export function wholeNumber (name: string, value: string | number): bigint {
  const number = Number(value)
  if (!Number.isInteger(number) || number < 0) throw new UsageError(`--${name} takes a whole number, not "${value}".`)
  return BigInt(number)
}

/** SHA-256 digests, in hex, of the secrets in a file with one secret per line. */
export function fileDigests (file: string): string[] {
  const lines = readLines(file)
  if (lines.length === 0) throw new UsageError(`${file} contains no secret. Write one per line.`)
  return lines.map(line => createHash('sha256').update(line).digest('hex'))
}

function readToken (file: string | undefined): string {
  const token = file === undefined ? process.env.EIDERWIND_TOKEN : readLines(file)[0]
  if (token === undefined || token === '') throw new UsageError('No token given. Give --token-file FILE or set EIDERWIND_TOKEN.')
  return token
}

function readLines (file: string): string[] {
  try {
    return readFileSync(file, 'utf8').split('\n').map(line => line.trim()).filter(line => line !== '')
  } catch (error) {
    throw new UsageError(`${file} cannot be read (${(error as { code: string }).code}).`)
  }
}
