/**
 * What a request is recognized by when it, or a part of it, is sent again: the fingerprint of its whole content, the
 * parts of its prompt that other requests may share, and its team. Pure. Gateways exchange and store these names, so
 * their form must not change.
 */
import { createHash } from 'node:crypto'
import { fingerprint, type RequestContent } from './fingerprint.js'

/** The names of a request. They may be computed on first use. */
export interface RequestIdentity {
  /** The fingerprint of its whole content. */
  readonly fingerprint: string
  /** Names of the parts of its prompt except the last, which is its own. Empty if it names no parts. */
  readonly parts: readonly string[]
  /** Name of its team. */
  readonly team: string
}

/** The prompt of a request as its headers describe it. */
export interface PromptDescription {
  /** The model for which the parts were read. A part means something only together with it. */
  readonly model: string
  /** The parts in order as `ID:TOKENS`, separated by commas. Undefined if the request names none. */
  readonly parts: string | undefined
}

/** Bounds of what is read of a list of parts: characters, and parts without the last. Anything beyond is ignored. */
const maxListLength = 4096
const maxParts = 8

/** Models and ids that a name of a part contains as they are. Others are replaced by a hash of both. */
const plainModel = /^[\w.-]{1,32}$/
const plainId = /^[\w-]{1,16}$/

/** Length of the hash of a part, in hexadecimal digits. */
const hashDigits = 16

/** The names of the parts of a prompt that other requests may share, without duplicates. */
export function sharedParts ({ model, parts = '' }: PromptDescription): string[] {
  const entries = parts.slice(0, maxListLength).split(',', maxParts + 1).map(each => each.trim()).filter(each => each !== '')
  const names = entries.slice(0, -1).map(each => partName(model, each.split(':', 1)[0]))
  return [...new Set(names)]
}

/** The name of a part. It contains a slash, which no fingerprint does. */
function partName (model: string, id: string): string {
  if (plainModel.test(model) && plainId.test(id)) return `${model}/${id}`
  return `/${createHash('sha256').update(JSON.stringify([model, id])).digest('hex').slice(0, hashDigits)}`
}

/** Whether a name is that of a part. */
export function isPartName (name: string): boolean {
  return name.includes('/') && !isTeamName(name)
}

/** The name of a team. Its first character sets it apart from the names of requests and parts. */
export function teamName (team: string): string {
  return `@${team}`
}

/** Whether a name is that of a team. */
export function isTeamName (name: string): boolean {
  return name.startsWith('@')
}

/** The names of a request, each computed on first use. */
export class LazyIdentity implements RequestIdentity {
  readonly #content: RequestContent
  readonly #prompt: PromptDescription
  #fingerprint: string | undefined
  #parts: readonly string[] | undefined

  constructor (content: RequestContent, prompt: PromptDescription) {
    this.#content = content
    this.#prompt = prompt
  }

  get fingerprint (): string {
    this.#fingerprint ??= fingerprint(this.#content)
    return this.#fingerprint
  }

  get parts (): readonly string[] {
    this.#parts ??= sharedParts(this.#prompt)
    return this.#parts
  }

  get team (): string {
    return teamName(this.#content.team)
  }
}
