/**
 * Claims and holds slots of idempotency keys for a plain worker. The home of a slot is the one worker that may run the
 * requests of the slot's keys; it keeps their outcomes in the slot's book of runs. Owns the leases on the slots of this
 * worker, and relies on a majority of the voters for each of them.
 */
import { v7 } from 'uuid'
import { Controller } from '@eiderwind/board'
import { type Clock } from '@eiderwind/clock'
import { ranked } from '@eiderwind/hash'
import { type Log } from '@eiderwind/log'
import { Homes, slotCount, type Book, type Key } from '@eiderwind/run'
import { type Handover, type PlainAssignment } from '@eiderwind/schema'
import { type Clients } from '@eiderwind/wire'
import { WireChannel } from './channel.js'
import { type WorkerBoard } from './facts.js'
import { type Grants } from './grants.js'

/** What the controller of homes depends on. */
export interface HomeControllerOptions {
  readonly clock: Clock
  readonly board: WorkerBoard
  readonly clients: Clients
  readonly grants: Grants
  readonly log: Log
  readonly worker: string
  readonly period: number
  readonly leaseInterval: number
  /** Whether this worker runs no request. */
  readonly isIdle: () => boolean
  /** How far wall clocks may differ, and how long keys are retained, in ms. */
  readonly skew: number
  readonly keyRetention: number
}

/** How long a worker that must leave waits for running requests before it hands over its slots, in ms. */
const maxLeaveWait = 5000

/** Number of updates between two attempts to hand a slot over to the voter that is preferred for it. */
const updatesPerYield = 8

/** Holds the slots whose home is this plain worker, and writes them to the board. */
export class HomeController extends Controller {
  readonly name = 'homes'
  readonly interval = 300
  readonly #options: HomeControllerOptions
  #homes: Homes | undefined
  #channel: WireChannel | undefined
  #revision = 0
  #tenureCount = 0
  #updateCount = 0
  #voters: PlainAssignment['voters'] = []
  #leaveSince = Infinity

  constructor (options: HomeControllerOptions) {
    super()
    this.#options = options
  }

  /** The book of runs of a key's slot, while this worker is the home of the slot. */
  book (key: Key): Book | undefined {
    return this.#homes?.book(key.slot)
  }

  async update (): Promise<void> {
    const { board } = this.#options
    const assignment = board.read('assignment')
    if (assignment?.kind !== 'plain' || board.read('stopping')) return
    if (board.read('mustLeave')) return await this.#leave()
    this.#leaveSince = Infinity
    if (!assignment.voters.some(each => each.id === this.#options.worker)) return await this.stop()
    if (this.#homes === undefined) this.#homes = this.#makeHomes(assignment)
    else if (assignment.revision !== this.#revision) this.#changeVoters(assignment, this.#homes)
    if (this.#homes === undefined) return
    this.#noteOtherHolders(assignment.service)
    if (board.read('upstream').healthy) this.#homes.update()
    if (++this.#updateCount % updatesPerYield === 0) await this.#homes.yieldSlot((voter, handover) => this.#handOver(voter, handover))
    this.#publishSlots()
  }

  /** Releases every slot and hands over its book to another voter. */
  async stop (): Promise<void> {
    const homes = this.#homes
    this.#homes = undefined
    await homes?.handOver((voter, handover) => this.#handOver(voter, handover))
    this.#publishSlots()
  }

  /** Takes over the book of a slot from another home. Returns false if this worker cannot serve the slot's keys. */
  takeBook (handover: Handover): boolean {
    const taken = this.#options.board.read('serving') && this.#homes?.inherit(handover) === true
    if (taken) this.#options.log.write('home-inherits', { slot: handover.slot, runs: handover.book.runs.length })
    return taken
  }

  /** Releases every slot once no request runs, or after `maxLeaveWait`. */
  async #leave (): Promise<void> {
    const { clock, isIdle } = this.#options
    this.#leaveSince = Math.min(this.#leaveSince, clock.now())
    if (isIdle() || clock.now() - this.#leaveSince > maxLeaveWait) await this.stop()
  }

  async #handOver (voter: string, handover: Handover): Promise<boolean> {
    const address = this.#voters.find(each => each.id === voter)?.address
    return address !== undefined && await this.#options.clients.worker(address).inherit(handover)
  }

  #makeHomes (assignment: PlainAssignment): Homes {
    const { clock, clients, worker, period, leaseInterval, skew, keyRetention, log } = this.#options
    const { service, voters, revision } = assignment
    this.#revision = revision
    this.#voters = voters
    this.#channel = new WireChannel(clients, voters, revision, () => {})
    return new Homes({
      clock,
      channel: this.#channel,
      service,
      worker,
      voters: voters.map(each => each.id),
      period,
      interval: leaseInterval,
      nonce: v7,
      tenure: () => ++this.#tenureCount,
      preferred: (slot, names) => ranked(`${service}/${slot}`, names),
      book: { skew, retention: keyRetention },
      listener: {
        held: ({ slot, origin, floor }) => {
          log.write('home-held', { slot, book: origin, floor: Math.round(floor) })
          this.#publishSlots()
        },
        lost: (slot, missing) => {
          log.write('home-lost', { slot, missing: missing.join(',') })
          this.#publishSlots()
        }
      }
    })
  }

  /**
   * Changes to a later list of voters. Consecutive lists differ by one voter. If a list was skipped, the homes stop and
   * are made anew at the next update.
   */
  #changeVoters ({ voters, revision }: PlainAssignment, homes: Homes): void {
    if (revision !== this.#revision + 1) {
      this.#homes = undefined
      homes.stop()
      return
    }
    this.#revision = revision
    this.#voters = voters
    this.#channel?.setPeers(voters, revision)
    homes.setVoters(voters.map(each => each.id))
  }

  /** Notes the slots that this worker has granted to other workers, so that it does not claim them. */
  #noteOtherHolders (service: string): void {
    for (let slot = 0; slot < slotCount; slot++) {
      const holder = this.#options.grants.holder(`home/${service}/${slot}`)
      if (holder !== undefined) this.#homes?.recordHolder(slot, holder)
    }
  }

  #publishSlots (): void {
    const { board } = this.#options
    const slots = this.#homes?.held ?? []
    if (JSON.stringify(slots) !== JSON.stringify(board.read('slots'))) board.write('slots', slots)
  }
}
