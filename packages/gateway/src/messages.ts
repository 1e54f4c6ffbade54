/**
 * The HTTP messages between gateways: confirmations of the configuration, the upstreams and their changes for gateways
 * that do not watch the store, blocked requests, relayed orders to engines, and probes of engines. This module is their
 * only encoder and decoder. Gateways of other builds read the names and values, so they never change; fields that a
 * later build adds are ignored. (Heartbeats, the datagrams between gateways, are in `peers`.)
 */
import { Address } from '@eiderwind/address'
import { blockId, type Block } from '@eiderwind/crashes'
import { type NodeAddress } from '@eiderwind/detect'
import { type Order, type OrderResult } from '@eiderwind/forming'
import { Upstream, listedName, type RosterChange } from '@eiderwind/roster'
import { Traffic } from '@eiderwind/traffic'
import { z } from 'zod'

/** Paths of the messages. A request with any other path is answered like `confirmation`. */
export const paths = { confirmation: '/confirmation', order: '/order', upstreams: '/upstreams', blocked: '/blocked', lift: '/blocked/lift', probe: '/probe' } as const

/** Maximum size of a relayed order or probe, in bytes. An order names at most 32 nodes. */
export const maxOrderBytes = 65_536

/** Age that stands for "never confirmed", in ms: JSON has no infinity. */
const neverConfirmed = 1e9

/** Age that stands for "there was no outage", in ms. */
export const noOutageAge = 1e9

const ConfirmationMessage = z.object({
  revision: z.number(),
  /** Ms since the answering gateway's newest confirmation was requested. It is never in the future. */
  age: z.number().nonnegative(),
  /** The whole configuration, if it is newer than the requester's. Its own schema names its fields (`traffic`). */
  traffic: Traffic.optional()
})

/**
 * Another gateway's answer: its revision, the age of its newest confirmation in ms, and its configuration if it is
 * newer.
 */
export type Confirmation = z.infer<typeof ConfirmationMessage>

/** Upper bound on the id of a process, in characters. It is repeated in each request. */
const maxLifeLength = 256

/**
 * Bounds of an age, in ms: how long an answer may wait at most, and more than any process runs. A list that seemed
 * complete up to a time far ahead would never be asked for again.
 */
const minAge = -60_000
const maxAge = 1e12

const Age = z.number().min(minAge).max(maxAge)

const UpstreamsMessage = z.object({
  /** Identifies the incarnation of the answering process. */
  life: z.string().max(maxLifeLength),
  /** Number of the newest change there. */
  newest: z.number(),
  /** Every upstream that the answering gateway knows, if the requester lacks more changes than are retained. */
  upstreams: z.array(z.unknown()).optional(),
  /**
   * Ms from the time up to which the answer is complete until the request arrived. Negative if the answer waited and is
   * complete up to a later time. Absent from builds that do not send it.
   */
  age: Age.optional(),
  /**
   * Ms from the end of the last outage of the store, as the answering gateway judged it, until the request arrived.
   * Absent from builds that do not send it.
   */
  outageAge: Age.optional(),
  /**
   * The store's revision up to which the answer is complete. Absent if it is unknown, and from builds that do not send
   * it.
   */
  revision: z.int().nonnegative().optional(),
  /** The changes since then, in order: each with `upstream`, whose schema names its fields (`roster`), or a departure. */
  changes: z.array(z.unknown()).optional()
})

const Departure = z.object({ gone: z.string(), certain: z.boolean().optional() })

/** What names an item that is not valid: an upstream, or a block. */
const NamedItem = z.object({ id: z.string().optional(), request: z.string().optional() })

/** What is read of an upstream that is not valid. */
const ListedUpstream = z.object({ id: z.string(), name: z.string().optional() })

/** An answer about another gateway's upstreams: the whole list, or the changes after those that the requester has. */
export interface UpstreamChanges extends Omit<z.infer<typeof UpstreamsMessage>, 'upstreams' | 'changes'> {
  readonly upstreams?: readonly Upstream[] | undefined
  readonly changes?: readonly RosterChange[] | undefined
}

/**
 * What the requester already has: the number of the last change that it took, and the incarnation of the process that
 * sent it.
 */
export interface UpstreamsRequest {
  readonly life: string
  readonly after: number
  /**
   * The store's revision up to which the requester knows the list; undefined if unknown, and from builds that do not
   * send it.
   */
  readonly revision: number | undefined
  /** Whether the answer may wait for a change. Default: yes, as for builds that do not send it. */
  readonly wait?: boolean
}

/** Upper bound on the invalid items of one list. Each of them takes time; a list with more is of no use. */
const maxInvalidItems = 1000

/** Upper bounds on the issues in the reason why an item is left out, and on its length in characters. */
const maxIssues = 3
const maxReasonLength = 500

/** Upper bounds on the length of a text in an order or a probe, and on the engines of a replica. */
const maxTextLength = 512
const maxMembers = 512

const Text = z.string().max(maxTextLength)

const OrderMessage = z.object({
  kind: z.enum(['join', 'open', 'close', 'stage', 'leave']),
  /** Id and address of the engine that receives the order. */
  node: Text,
  address: Address,
  replica: Text,
  epoch: z.number(),
  model: Text.optional(),
  members: z.array(Text).max(maxMembers).optional(),
  manner: z.enum(['finish', 'cut']).optional(),
  loads: z.boolean(),
  spare: z.boolean().optional(),
  fence: z.number()
})

/** Upper bounds on a block: the length and the number of its names, and its duration in ms (a day). */
const maxNameLength = 256
const maxNames = 256
const maxBlockDuration = 24 * 60 * 60_000

const BlockName = z.string().min(1).max(maxNameLength)

const BlockMessage = z.object({
  /** The id of the block: the request's fingerprint in builds that block nothing else. */
  request: BlockName,
  /** Ms since the crash that led to it. */
  age: z.number().nonnegative(),
  /** The names of the block. Absent if the id is its only name, and for builds that block only whole requests. */
  names: z.array(BlockName).min(1).max(maxNames).optional(),
  /** Ms from that crash to its end. Absent for builds in which all blocks last equally long. */
  duration: z.number().positive().max(maxBlockDuration).optional()
})

/** A request that was served: its name, and ms since then. */
const Clearance = z.tuple([BlockName, z.number().nonnegative()])

const BlockedMessage = z.object({
  /** Each a `BlockMessage`. */
  blocked: z.array(z.unknown()),
  /** Names of requests that were served, each with its age. Absent for builds that do not send it. */
  cleared: z.record(z.string(), z.unknown()).optional()
})

/** The blocks of a gateway, and the clearances that may lift those of another one. */
export interface BlockedList {
  readonly blocks: readonly Block[]
  readonly clearances: Readonly<Record<string, number>>
}

/** The duration of all blocks in builds that do not send one, in ms. */
const defaultBlockDuration = 60 * 60_000

const ResultMessage = z.object({ result: z.enum(['taken', 'refused', 'stale', 'closed', 'unanswered']) })

/** The target of a request that asks another gateway to confirm a revision. */
export function confirmationTarget (revision: number): string {
  return `${paths.confirmation}?revision=${revision}`
}

/** The revision that a target names; 0 if it names none. */
export function parseRequestedRevision (target: string): number {
  return Number(new URL(target, 'http://gateway').searchParams.get('revision') ?? 0)
}

/** @param age ms, or Infinity if the configuration was never confirmed */
export function encodeConfirmation (revision: number, age: number, traffic: Traffic | undefined): string {
  return JSON.stringify({ revision, age: Number.isFinite(age) ? age : neverConfirmed, traffic })
}

/** Throws if the text is not a confirmation. */
export function decodeConfirmation (text: string): Confirmation {
  return ConfirmationMessage.parse(JSON.parse(text))
}

/** The target of a request for another gateway's upstreams. */
export function upstreamsTarget ({ life, after, revision, wait = true }: UpstreamsRequest): string {
  const revisionParameter = revision === undefined ? '' : `&revision=${revision}`
  return `${paths.upstreams}?life=${encodeURIComponent(life)}&after=${after}${revisionParameter}${wait ? '' : '&wait=no'}`
}

/** Parses the target of a request for upstreams; undefined if it belongs to another message. */
export function parseUpstreamsRequest (target: string): UpstreamsRequest | undefined {
  const { pathname, searchParams } = new URL(target, 'http://gateway')
  if (pathname !== paths.upstreams) return undefined
  const revision = searchParams.get('revision')
  return { life: searchParams.get('life') ?? '', after: Number(searchParams.get('after') ?? 0), revision: revision === null ? undefined : Number(revision), ...searchParams.get('wait') === 'no' && { wait: false } }
}

/** The answer to a gateway that follows this one. */
export function encodeUpstreamChanges (changes: UpstreamChanges): string {
  return JSON.stringify(changes)
}

/**
 * Throws if the text is not an answer about upstreams. An upstream in it that is not valid is left out, and whatever was
 * listed under its name is gone: a build that checks less may have sent it.
 * @param invalid called with the reason why an upstream is left out
 */
export function decodeUpstreamChanges (text: string, invalid: (reason: string) => void): UpstreamChanges {
  const { upstreams, changes, ...others } = UpstreamsMessage.parse(JSON.parse(text))
  return {
    ...others,
    ...upstreams !== undefined && { upstreams: validItems(Upstream, upstreams, invalid) },
    ...changes !== undefined && { changes: changes.flatMap(each => decodeChange(each, invalid)) }
  }
}

function decodeChange (value: unknown, invalid: (reason: string) => void): RosterChange[] {
  const { data } = z.object({ upstream: z.unknown() }).safeParse(value)
  if (data?.upstream === undefined) return validItems(Departure, [value], invalid)
  const [upstream] = validItems(Upstream, [data.upstream], invalid)
  if (upstream !== undefined) return [{ upstream }]
  const listed = ListedUpstream.safeParse(data.upstream).data
  return listed === undefined ? [] : [{ gone: listedName(listed), certain: true }]
}

/**
 * The items of a list that match a schema. The others are left out, each with its reason. Throws if too many do not
 * match.
 */
function validItems<Schema extends z.ZodType> (schema: Schema, items: readonly unknown[], invalid: (reason: string) => void): Array<z.infer<Schema>> {
  let left = maxInvalidItems
  return items.flatMap(each => {
    const { data, error } = schema.safeParse(each)
    if (error === undefined) return [data]
    if (left-- === 0) throw new Error(`More than ${maxInvalidItems} items in the answer of another gateway are invalid.`)
    invalid(reasonOf(error, each))
    return []
  })
}

/** Why an item is not used: its id, if it has one, and the fields that are not valid, but no values. */
function reasonOf ({ issues }: z.ZodError, item: unknown): string {
  const { id, request } = NamedItem.safeParse(item).data ?? {}
  const name = (id ?? request ?? '').slice(0, maxNameLength)
  const fields = issues.slice(0, maxIssues).map(({ path, message }) => `${path.join('.')}: ${message}`)
  return `An item ${name} in the answer of another gateway is invalid: ${fields.join('; ')}`.slice(0, maxReasonLength)
}

/** The blocks and clearances of this gateway. */
export function encodeBlocked ({ blocks, clearances }: BlockedList): string {
  const blocked = blocks.map(({ names, age, duration }) => ({ request: blockId(names), age, names, duration }))
  return JSON.stringify({ blocked, cleared: clearances })
}

/**
 * Throws if the text is not a list of blocks.
 * @param invalid called with the reason why a block or a clearance is left out
 */
export function decodeBlocked (text: string, invalid: (reason: string) => void): BlockedList {
  const { blocked, cleared = {} } = BlockedMessage.parse(JSON.parse(text))
  const blocks = validItems(BlockMessage, blocked, invalid).map(({ request, age, names = [request], duration = defaultBlockDuration }) => ({ names, age, duration }))
  return { blocks, clearances: Object.fromEntries(validItems(Clearance, Object.entries(cleared), invalid)) }
}

/** The target of an order to lift a block. */
export function liftTarget (id: string): string {
  return `${paths.lift}?id=${encodeURIComponent(id)}`
}

/** The id of the block that a target orders to lift; undefined if it belongs to another message. */
export function parseLift (target: string): string | undefined {
  const { pathname, searchParams } = new URL(target, 'http://gateway')
  return pathname === paths.lift ? searchParams.get('id') ?? '' : undefined
}

/** An order for another gateway to relay. */
export function encodeOrder ({ kind, node, address, replica, epoch, model, members, manner, loads, spare, fence }: Order): string {
  return JSON.stringify({ kind, node, address, replica, epoch, model, members, manner, loads, spare, fence })
}

/** Throws if the text is not an order. */
export function decodeOrder (text: string): Order {
  return OrderMessage.parse(JSON.parse(text))
}

/** The result of a relayed order. */
export function encodeResult (result: OrderResult): string {
  return JSON.stringify({ result })
}

/** Throws if the text is not a result. */
export function decodeResult (text: string): OrderResult {
  return ResultMessage.parse(JSON.parse(text)).result
}

const ProbeMessage = z.object({
  /** Id and address of the engine. */
  id: Text,
  address: Address
})

const ProbeAnswer = z.object({ answers: z.boolean() })

/** An engine for another gateway to probe. */
export function encodeProbe ({ id, address }: NodeAddress): string {
  return JSON.stringify({ id, address })
}

/** Throws if the text does not name an engine. */
export function decodeProbe (text: string): NodeAddress {
  return ProbeMessage.parse(JSON.parse(text))
}

/** Whether the engine answered the gateway that was asked. */
export function encodeProbeAnswer (answers: boolean): string {
  return JSON.stringify({ answers })
}

/** Throws if the text is not the answer to a probe. */
export function decodeProbeAnswer (text: string): boolean {
  return ProbeAnswer.parse(JSON.parse(text)).answers
}
