/**
 * The datagrams by which gateways ask each other for places. This is the only place that knows their keys on the wire: never rename, drop or retype one. A gateway of an
 * earlier build drops them, and its requests are served without: what it has in flight is known by its heartbeats.
 */
import { parseJson } from '@eiderwind/wire'
import { z } from 'zod'
import { type Ask } from './ask.js'
import { type Room } from './room.js'

const number = z.int().nonnegative()
const time = z.number().nonnegative()
const flag = z.boolean().optional()
const room = { service: z.string(), model: z.string() }

const PlaceMessage = z.discriminatedUnion('place', [
  /**
   * A request waits for a place. It came `age` ms ago, can begin for `timely` ms more and be in time (less than 0: it is late), and waits for `patience` ms, but only `review` ms without
   * a prospect, at none of the upstreams `besides`, best in the data centre `near`. Its caller was refused before and has come back; or has come back sooner than it was told to.
   */
  z.object({ place: z.literal('ask'), ...room, number, priority: z.number(), team: z.string(), work: z.number(), age: time, timely: z.number(), patience: time, review: time.optional(), besides: z.array(z.string()), near: z.string(), again: flag, early: flag }),
  /** It waits no longer. */
  z.object({ place: z.literal('drop'), ...room, number }),
  /** It is in the queue. */
  z.object({ place: z.literal('wait'), number }),
  /** It has a place at an upstream: the grant `order` of the sender, whose grants have rising numbers. */
  z.object({ place: z.literal('grant'), number, upstream: z.string(), order: number }),
  /** It gets none in time. Its caller should come back in `due` ms; 0: as after any refusal. */
  z.object({ place: z.literal('later'), number, due: time }),
  /** What the sender has in flight at an upstream, with all grants of the receiver up to `seen`; and for how many ms it leaves the upstream out, if it does. */
  z.object({ place: z.literal('count'), ...room, upstream: z.string(), count: number, seen: number, shut: time.optional() })
])
/** A message between the gateway that issues a model's places and one that asks for them. */
export type PlaceMessage = z.infer<typeof PlaceMessage>

/** An ask on the wire, where times are told by how long they are from now: clocks of gateways differ. */
export type AskMessage = Extract<PlaceMessage, { place: 'ask' }>

/** The message that tells another gateway an ask. @param now on `Clock.now`, in ms */
export function askMessage ({ service, model }: Room, { number, priority, team, work, arrivedAt, inTimeUntil, until, reviewAt, besides, near, again, early }: Ask, now: number): AskMessage {
  return { place: 'ask', service, model, number, priority, team, work, age: Math.max(0, now - arrivedAt), timely: inTimeUntil - now, patience: Math.max(0, until - now), review: reviewAt === undefined ? undefined : Math.max(0, reviewAt - now), besides: [...besides], near, again, early }
}

/** The ask in a message of another gateway. @param now on `Clock.now`, in ms */
export function heardAsk ({ number, priority, team, work, age, timely, patience, review, besides, near, again, early }: AskMessage, from: string, now: number): Ask {
  return { from, number, priority, team, work, arrivedAt: now - age, inTimeUntil: now + timely, until: now + patience, reviewAt: review === undefined ? undefined : now + review, besides, near, again, early }
}

/** How each of the datagrams begins: what is none need not be read. */
const beginning = Buffer.from('{"place":')

/** The datagram of a message. */
export function encodeMessage ({ place, ...others }: PlaceMessage): string {
  return JSON.stringify({ place, ...others })
}

/** The message in a datagram, or undefined where the datagram is none. */
export function decodeMessage (datagram: Buffer): PlaceMessage | undefined {
  if (!datagram.subarray(0, beginning.length).equals(beginning)) return undefined
  return PlaceMessage.safeParse(parseJson(datagram.toString())).data
}
