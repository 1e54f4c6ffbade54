/**
 * The datagrams in which gateways request places from each other. Only this module knows their keys on the wire:
 * never rename, drop or retype one. A gateway of an earlier build ignores these datagrams. Its requests are served
 * without places, and their load is known from its heartbeats.
 */
import { parseJson } from '@eiderwind/wire'
import { z } from 'zod'
import { type PlaceRequest } from './request.js'
import { type Room } from './room.js'

const number = z.int().nonnegative()

/** The longest time that a timer of Node.js can wait, in ms. A timer for a longer one ends at once. */
const maxTimerDelay = 2 ** 31 - 1
const time = z.number().nonnegative().max(maxTimerDelay)

/** Upper bound on the work of a request. The sum of all that wait must stay a number. */
const maxWork = 1e15
const flag = z.boolean().optional()
const room = { service: z.string(), model: z.string() }

const PlaceMessage = z.discriminatedUnion('place', [
  /**
   * A request waits for a place. It arrived `age` ms ago and must start within `timely` ms to be in time (negative: it
   * is already late). It waits for `patience` ms, but after `review` ms only if it is expected to be served in time.
   * It cannot be sent to the upstreams in `besides`; `near` is its preferred data centre. `again`: its caller retries
   * after a refusal. `early`: its caller retries sooner than the refusal asked for.
   */
  z.object({ place: z.literal('ask'), ...room, number, priority: z.number(), team: z.string(), work: z.number().nonnegative().max(maxWork), age: time, timely: z.number().min(-maxTimerDelay).max(maxTimerDelay), patience: time, review: time.optional(), besides: z.array(z.string()), near: z.string(), again: flag, early: flag }),
  /** The request no longer waits. */
  z.object({ place: z.literal('drop'), ...room, number }),
  /** The request is in the queue. */
  z.object({ place: z.literal('wait'), number }),
  /** The request has a place at an upstream. `order` is the number of the grant; the numbers of one sender increase. */
  z.object({ place: z.literal('grant'), number, upstream: z.string(), order: number }),
  /**
   * The request gets no place in time. Its caller should retry in `due` ms; 0 stands for the usual `Retry-After`.
   */
  z.object({ place: z.literal('later'), number, due: time }),
  /**
   * What the sender has in flight at an upstream, including all grants of the receiver up to `seen`. `shut`: how long
   * the sender excludes the upstream, in ms, if it does.
   */
  z.object({ place: z.literal('count'), ...room, upstream: z.string(), count: number, seen: number, shut: time.optional() })
])
/** A message between the gateway that issues a model's places and one that requests them. */
export type PlaceMessage = z.infer<typeof PlaceMessage>

/** A place request on the wire. Its times are relative to now, because the clocks of gateways differ. */
export type RequestMessage = Extract<PlaceMessage, { place: 'ask' }>

/**
 * The message that carries a place request to another gateway.
 * @param now on `Clock.now`, in ms
 */
export function requestMessage ({ service, model }: Room, { number, priority, team, work, arrivedAt, inTimeUntil, until, reviewAt, excluded: besides, near, again, early }: PlaceRequest, now: number): RequestMessage {
  return { place: 'ask', service, model, number, priority, team, work, age: Math.max(0, now - arrivedAt), timely: inTimeUntil - now, patience: Math.max(0, until - now), review: reviewAt === undefined ? undefined : Math.max(0, reviewAt - now), besides: [...besides], near, again, early }
}

/**
 * The place request in a message of another gateway.
 * @param now on `Clock.now`, in ms
 */
export function receivedRequest ({ number, priority, team, work, age, timely, patience, review, besides, near, again, early }: RequestMessage, from: string, now: number): PlaceRequest {
  return { from, number, priority, team, work, arrivedAt: now - age, inTimeUntil: now + timely, until: now + patience, reviewAt: review === undefined ? undefined : now + review, excluded: besides, near, again, early }
}

/** The first bytes of each of these datagrams. Datagrams that begin differently are not parsed. */
const messagePrefix = Buffer.from('{"place":')

/** Encodes a message as a datagram. */
export function encodeMessage ({ place, ...others }: PlaceMessage): string {
  return JSON.stringify({ place, ...others })
}

/** Decodes a datagram. Returns undefined if it is not one of these messages. */
export function decodeMessage (datagram: Buffer): PlaceMessage | undefined {
  if (!datagram.subarray(0, messagePrefix.length).equals(messagePrefix)) return undefined
  return PlaceMessage.safeParse(parseJson(datagram.toString())).data
}
