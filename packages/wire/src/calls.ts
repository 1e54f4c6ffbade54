/**
 * The calls between `entry` and `worker`: their messages, the abstract classes that processes implement, and the tRPC
 * routers that check inputs and find procedures. The names of procedures and fields are sent on the wire and must not
 * be changed.
 */
import { initTRPC } from '@trpc/server'
import { z } from 'zod'
import { type Answer } from '@eiderwind/lease'
import { Configuration, EntryAddress, Handover, Report, type VoterList, type Node, type Peer, type Placement, type ReportAnswer } from '@eiderwind/schema'

const Claim = z.object({
  resource: z.string(),
  holder: z.string(),
  term: z.string(),
  /** Duration of the lease, in ms. */
  period: z.number(),
  /** Revision of the holder's list of granters. */
  revision: z.int()
})
/** `age` is the time since the attempt was sent, in ms. */
const Settle = z.object({ attempt: z.string(), incarnation: z.string(), age: z.number() })
const HeadsInput = z.object({ service: z.string() })
/** A report with its age, in ms. */
const AgedReport = z.object({ report: Report, age: z.number() })
/** The counters of reports, one array for each column. Row `i` is the report of `workers[i]`. Ages are in ms. */
const ReportCounters = z.object({
  workers: z.array(z.string()),
  stamps: z.array(z.number()),
  sequences: z.array(z.number()),
  running: z.array(z.number()),
  queued: z.array(z.number()),
  ages: z.array(z.number())
})

/** A claim to a lease, with the values that the granter needs to decide on it. */
export type ClaimMessage = z.infer<typeof Claim>

/** A granter's answer to a claim. */
export interface ClaimAnswer {
  readonly answer: Answer
  /** Whether the granter's engine is ready for the holder's work. */
  readonly ready: boolean
  /** Whether the granter is about to stop. The holder should then finish and release. */
  readonly leaving: boolean
}

/** Asks whether an attempt has started, and prevents its start if it has not. */
export type SettleMessage = z.infer<typeof Settle>

/**
 * `tombstoned`: the attempt has not started and never will. `started`: it has started. `stranger`: the incarnation of
 * the worker that received the attempt has ended, so the answer is not known.
 */
export type SettleAnswer = 'tombstoned' | 'started' | 'stranger'

/** The message that an entry sends to another entry at intervals. */
export const ExchangeMessage = z.object({
  from: EntryAddress,
  /** The configuration revision in force at the sender. */
  revision: z.int(),
  /** Digest of the sender's copies of placements, homes, entries and nodes. */
  known: z.int(),
  /** Full reports, each with its age in ms. */
  reports: z.array(AgedReport),
  /** Only the counters of reports that the receiver already has, one array for each column. */
  beats: ReportCounters
})
export type ExchangeMessage = z.infer<typeof ExchangeMessage>

/** The state of the receiver of an exchange, from which the sender sees what it should fetch itself. */
export interface ExchangeAnswer {
  readonly revision: number
  readonly known: number
  /** Workers whose full reports the receiver does not have. */
  readonly lacking: readonly string[]
}

/** An entry's copies of placements, homes, entries and nodes. */
export interface KnownState {
  readonly placements: readonly Placement[]
  readonly homes: readonly VoterList[]
  readonly entries: readonly EntryAddress[]
  readonly nodes: readonly Node[]
  /** When the current node list was first seen, in ms of the wall clock. */
  readonly nodesSeen: number
}

/** The calls that a worker answers. */
export abstract class WorkerCalls {
  abstract claim (message: ClaimMessage): Promise<ClaimAnswer>
  abstract release (message: ClaimMessage): Promise<void>
  abstract settle (message: SettleMessage): Promise<SettleAnswer>
  /** Offers this worker the records of a slot of idempotency keys. Resolves to whether it accepted them. */
  abstract inherit (handover: Handover): Promise<boolean>
}

/** The calls that an entry answers to workers and other entries. */
export abstract class EntryCalls {
  abstract report (report: Report): Promise<ReportAnswer>
  abstract exchange (message: ExchangeMessage): Promise<ExchangeAnswer>
  abstract configuration (): Promise<Configuration>
  abstract known (): Promise<KnownState>
  /**
   * The heads of the serving replicas of a model service in the entry's region. The `id` of each returned peer is the
   * id of its replica.
   */
  abstract heads (message: { readonly service: string }): Promise<Peer[]>
  /** Sends a configuration that has just been accepted. Resolves to the revision in force afterwards. */
  abstract offer (configuration: Configuration): Promise<number>
}

const trpc = initTRPC.create()

/** Creates the tRPC router for a worker's calls. */
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

/** Creates the tRPC router for an entry's calls. */
export function entryRouter (calls: EntryCalls) {
  return trpc.router({
    report: trpc.procedure.input(Report).mutation(({ input }) => calls.report(input)),
    exchange: trpc.procedure.input(ExchangeMessage).mutation(({ input }) => calls.exchange(input)),
    configuration: trpc.procedure.query(() => calls.configuration()),
    heads: trpc.procedure.input(HeadsInput).mutation(({ input }) => calls.heads(input)),
    known: trpc.procedure.query(() => calls.known()),
    offer: trpc.procedure.input(Configuration).mutation(({ input }) => calls.offer(input))
  })
}
/** The router of an entry. */
export type EntryRouter = ReturnType<typeof entryRouter>
