/**
 * The calls between `entry` and `worker`: their messages, the abstract classes that processes implement, and the tRPC routers
 * that check inputs and find procedures. Procedures and fields are names on the wire: never rename one.
 */
import { initTRPC } from '@trpc/server'
import { z } from 'zod'
import { type Answer } from '@eiderwind/lease'
import { Configuration, EntryAddress, Handover, Report, type Homes, type Node, type Peer, type Placement, type ReportAnswer } from '@eiderwind/schema'

const Claim = z.object({
  resource: z.string(),
  holder: z.string(),
  term: z.string(),
  period: z.number(),
  /** Revision of the list of granters that the holder uses. */
  revision: z.int()
})
const Settle = z.object({ attempt: z.string(), incarnation: z.string(), age: z.number() })
const Service = z.object({ service: z.string() })
const Aged = z.object({ report: Report, age: z.number() })
const Beats = z.object({
  workers: z.array(z.string()),
  stamps: z.array(z.number()),
  sequences: z.array(z.number()),
  running: z.array(z.number()),
  queued: z.array(z.number()),
  ages: z.array(z.number())
})

/** A claim to a lease, with what the granter needs to decide on it. */
export type ClaimMessage = z.infer<typeof Claim>

/** A granter's answer, with whether its engine is ready for the holder's work. */
export interface ClaimAnswer {
  readonly answer: Answer
  readonly ready: boolean
  /** Whether the granter is about to stop. The holder should then finish and release. */
  readonly leaving: boolean
}

/** Asks whether an attempt has started, and keeps it from starting if it has not. */
export type SettleMessage = z.infer<typeof Settle>

/** `tombstoned`: it did not start and never will. `started`: it did. `stranger`: the incarnation that would know has ended. */
export type SettleAnswer = 'tombstoned' | 'started' | 'stranger'

/** What an entry sends to another one at intervals. */
export const Exchange = z.object({
  from: EntryAddress,
  /** The configuration revision in force at the sender. */
  revision: z.int(),
  /** Digest of the placements, homes, entries and nodes that the sender knows. */
  known: z.int(),
  /** Whole reports. */
  reports: z.array(Aged),
  /** Counters of reports that the receiver already has, by columns. */
  beats: Beats
})
export type Exchange = z.infer<typeof Exchange>

/** What the receiver of an exchange has, so that the sender can fetch what it lacks itself. */
export interface ExchangeAnswer {
  readonly revision: number
  readonly known: number
  /** Workers whose reports the receiver lacks. */
  readonly lacking: readonly string[]
}

/** The placements, homes, entries and nodes that an entry knows. */
export interface Known {
  readonly placements: readonly Placement[]
  readonly homes: readonly Homes[]
  readonly entries: readonly EntryAddress[]
  readonly nodes: readonly Node[]
  /** Wall time at which the node list was first seen as it is, in ms. */
  readonly nodesSeen: number
}

/** The calls that a worker answers. */
export abstract class WorkerCalls {
  abstract claim (message: ClaimMessage): Promise<ClaimAnswer>
  abstract release (message: ClaimMessage): Promise<void>
  abstract settle (message: SettleMessage): Promise<SettleAnswer>
  /** Offers the records of a slot of keys. Resolves to whether they were taken. */
  abstract inherit (handover: Handover): Promise<boolean>
}

/** The calls that an entry answers to workers and other entries. */
export abstract class EntryCalls {
  abstract report (report: Report): Promise<ReportAnswer>
  abstract exchange (message: Exchange): Promise<ExchangeAnswer>
  abstract configuration (): Promise<Configuration>
  abstract known (): Promise<Known>
  /** The heads of the replicas of a model service that serve in the entry's region. Each has its replica's id. */
  abstract heads (message: { readonly service: string }): Promise<Peer[]>
  /** Passes on a configuration that was just accepted. Resolves to the revision in force afterwards. */
  abstract offer (configuration: Configuration): Promise<number>
}

const trpc = initTRPC.create()

/** The tRPC router over a worker's calls. */
export function workerRouter (calls: WorkerCalls) {
  return trpc.router({
    claim: trpc.procedure.input(Claim).mutation(({ input }) => calls.claim(input)),
    release: trpc.procedure.input(Claim).mutation(({ input }) => calls.release(input)),
    settle: trpc.procedure.input(Settle).mutation(({ input }) => calls.settle(input)),
    inherit: trpc.procedure.input(Handover).mutation(({ input }) => calls.inherit(input))
  })
}
/** The router of a worker. */
export type WorkerRouter = ReturnType<typeof workerRouter>

/** The tRPC router over an entry's calls. */
export function entryRouter (calls: EntryCalls) {
  return trpc.router({
    report: trpc.procedure.input(Report).mutation(({ input }) => calls.report(input)),
    exchange: trpc.procedure.input(Exchange).mutation(({ input }) => calls.exchange(input)),
    configuration: trpc.procedure.query(() => calls.configuration()),
    heads: trpc.procedure.input(Service).mutation(({ input }) => calls.heads(input)),
    known: trpc.procedure.query(() => calls.known()),
    offer: trpc.procedure.input(Configuration).mutation(({ input }) => calls.offer(input))
  })
}
/** The router of an entry. */
export type EntryRouter = ReturnType<typeof entryRouter>
