/**
 * The HTTP messages between gateways: confirmations of the configuration, the upstreams and their changes for
 * gateways that do not watch the store, blocked requests, and orders to engines that are relayed. This is
 * their only encoder and decoder; names and values here are read by gateways of other builds and never change. Fields that
 * a later build adds are ignored. (Heartbeats, the datagrams between gateways, are in `peers`.)
 */
import { type BlockedRequest } from '@eiderwind/crashes'
import { type Order, type OrderResult } from '@eiderwind/forming'
import { Upstream } from '@eiderwind/roster'
import { Traffic } from '@eiderwind/traffic'
import { z } from 'zod'

/** Paths of the messages. Every other path is answered like `confirmation`. */
export const paths = { confirmation: '/confirmation', order: '/order', upstreams: '/upstreams', blocked: '/blocked' } as const

/** Longest relayed order, in bytes; an order names at most 32 nodes. */
export const orderLimit = 65_536

/** Age that stands for "never confirmed", in ms: JSON has no infinity. */
const neverConfirmed = 1e9

const ConfirmationMessage = z.object({
  revision: z.number(),
  /** Ms since the answering gateway's newest confirmation was asked for. */
  age: z.number(),
  /** The whole configuration, where it is newer than the asker's. Its own schema names its fields (`traffic`). */
  traffic: Traffic.optional()
})

/** How another gateway answers: its revision, the age of its newest confirmation in ms, and its configuration where newer. */
export type Confirmation = z.infer<typeof ConfirmationMessage>

const UpstreamsMessage = z.object({
  /** The life of the answering process. */
  life: z.string(),
  /** Number of the newest change there. */
  newest: z.number(),
  /** Every upstream that the answering gateway knows, where the asker lacks more changes than are kept. */
  upstreams: z.array(Upstream).optional(),
  /**
   * Ms from the time before which the answer lacks nothing until the question arrived; negative where the answer waited for that time.
   * Absent from builds that do not say.
   */
  age: z.number().optional(),
  /** The store's revision up to which the answer lacks nothing. Absent from builds that do not say, and where it is not known. */
  revision: z.number().optional(),
  /** What changed since, in order. The schema of an upstream names its fields (`roster`). */
  changes: z.array(z.union([z.object({ upstream: Upstream }), z.object({ gone: z.string(), certain: z.boolean().optional() })])).optional()
})

/** How the upstreams of another gateway have changed: the whole list, or the changes after those that the asker has. */
export type UpstreamChanges = z.infer<typeof UpstreamsMessage>

/** What an asker has: the number of the last change that it took, and the life of the process that gave it. */
export interface UpstreamsAsked {
  readonly life: string
  readonly after: number
  /** The store's revision up to which it knows the list; undefined where it does not, and from builds that do not say. */
  readonly revision: number | undefined
}

const OrderMessage = z.object({
  kind: z.enum(['join', 'open', 'close', 'stage', 'leave']),
  /** Id and address of the engine that is ordered. */
  node: z.string(),
  address: z.string(),
  replica: z.string(),
  epoch: z.number(),
  model: z.string().optional(),
  members: z.array(z.string()).optional(),
  manner: z.enum(['finish', 'cut']).optional(),
  loads: z.boolean(),
  spare: z.boolean().optional(),
  fence: z.number()
})

const BlockedMessage = z.object({
  blocked: z.array(z.object({
    /** The request's fingerprint. */
    request: z.string(),
    /** Ms since it was blocked. */
    age: z.number().nonnegative()
  }))
})

const ResultMessage = z.object({ result: z.enum(['taken', 'refused', 'stale', 'closed', 'unanswered']) })

/** The target that asks another gateway to confirm a revision. */
export function confirmationTarget (revision: number): string {
  return `${paths.confirmation}?revision=${revision}`
}

/** The revision that a target asks about; 0 where it names none. */
export function askedRevision (target: string): number {
  return Number(new URL(target, 'http://gateway').searchParams.get('revision') ?? 0)
}

/** @param age ms, or Infinity where nothing was ever confirmed */
export function encodeConfirmation (revision: number, age: number, traffic: Traffic | undefined): string {
  return JSON.stringify({ revision, age: Number.isFinite(age) ? age : neverConfirmed, traffic })
}

/** Throws where the text is no confirmation. */
export function decodeConfirmation (text: string): Confirmation {
  return ConfirmationMessage.parse(JSON.parse(text))
}

/** The target that asks another gateway for its upstreams. */
export function upstreamsTarget ({ life, after, revision }: UpstreamsAsked): string {
  const known = revision === undefined ? '' : `&revision=${revision}`
  return `${paths.upstreams}?life=${encodeURIComponent(life)}&after=${after}${known}`
}

/** What a target asks for; undefined where it is another message's. */
export function askedUpstreams (target: string): UpstreamsAsked | undefined {
  const { pathname, searchParams } = new URL(target, 'http://gateway')
  if (pathname !== paths.upstreams) return undefined
  const revision = searchParams.get('revision')
  return { life: searchParams.get('life') ?? '', after: Number(searchParams.get('after') ?? 0), revision: revision === null ? undefined : Number(revision) }
}

/** The answer to a gateway that follows this one. */
export function encodeUpstreamChanges (changes: UpstreamChanges): string {
  return JSON.stringify(changes)
}

/** Throws where the text is no such message. */
export function decodeUpstreamChanges (text: string): UpstreamChanges {
  return UpstreamsMessage.parse(JSON.parse(text))
}

/** The requests that are blocked here. */
export function encodeBlocked (blocked: readonly BlockedRequest[]): string {
  return JSON.stringify({ blocked })
}

/** Throws where the text is no list of blocked requests. */
export function decodeBlocked (text: string): BlockedRequest[] {
  return BlockedMessage.parse(JSON.parse(text)).blocked
}

/** An order for another gateway to relay. */
export function encodeOrder ({ kind, node, address, replica, epoch, model, members, manner, loads, spare, fence }: Order): string {
  return JSON.stringify({ kind, node, address, replica, epoch, model, members, manner, loads, spare, fence })
}

/** Throws where the text is no order. */
export function decodeOrder (text: string): Order {
  return OrderMessage.parse(JSON.parse(text))
}

/** What became of a relayed order. */
export function encodeResult (result: OrderResult): string {
  return JSON.stringify({ result })
}

/** Throws where the text is no result. */
export function decodeResult (text: string): OrderResult {
  return ResultMessage.parse(JSON.parse(text)).result
}
