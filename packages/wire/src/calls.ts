import { initTRPC } from '@trpc/server'
import { z } from 'zod'
import { type Answer } from '@eiderwind/lease'
import { Configuration, EntryAddress, Handover, Report, type Homes, type Node, type Peer, type Placement, type ReportAnswer } from '@eiderwind/schema'

const Claim = z.object({
  resource: z.string(),
  holder: z.string(),
  term: z.string(),
  period: z.number(),
  /** Revision of the list of granters that the holder goes by. */
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

/** A claim as it is sent, with what the granter needs to judge it. */
export type ClaimMessage = z.infer<typeof Claim>

/** A granter's answer, with whether its engine is ready for the holder's work. */
export interface ClaimAnswer {
  readonly answer: Answer
  readonly ready: boolean
  /** Whether the granter is about to stop, so that the holder should finish and release. */
  readonly leaving: boolean
}

/** A question for the fate of an attempt. */
export type SettleMessage = z.infer<typeof Settle>

/** `stranger`: another incarnation was meant, so nobody knows. */
export type SettleAnswer = 'tombstoned' | 'started' | 'stranger'

/** What one entry tells another. */
export const Exchange = z.object({
  from: EntryAddress,
  /** The configuration revision in force at the sender. */
  revision: z.int(),
  /** Digest of the placements, homes, entries and nodes that the sender knows. */
  known: z.int(),
  /** Whole reports. */
  reports: z.array(Aged),
  /** Counts of reports that the receiver was told before, by columns. */
  beats: Beats
})
export type Exchange = z.infer<typeof Exchange>

/** What the receiver of an exchange has itself, so that the sender can fetch what it lacks. */
export interface ExchangeAnswer {
  readonly revision: number
  readonly known: number
  /** Workers of beats whose report the receiver does not have. */
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
  /** Offers the book of a slot of keys. Answers whether it was taken. */
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
  /** Gives a configuration that was just accepted. Answers with the revision in force afterwards. */
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
export type EntryRouter = ReturnType<typeof entryRouter>
