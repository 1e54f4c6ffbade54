/**
 * Holds the slots of keys whose home this plain worker is. Owns the leases on them; relies on a majority of the voters.
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

/** What the keeper of homes stands on. */
export interface HomekeeperOptions {
  readonly clock: Clock
  readonly board: WorkerBoard
  readonly clients: Clients
  readonly grants: Grants
  readonly log: Log
  readonly worker: string
  readonly period: number
  readonly leaseInterval: number
  /** Whether no request runs here. */
  readonly idle: () => boolean
  /** How far wall clocks may differ, and how long keys are remembered, in ms. */
  readonly skew: number
  readonly keep: number
}

/** How long a worker that was told to leave waits for what runs before it hands its slots over, in ms. */
const handPatience = 5000

/** Updates between two slots that are handed to the voter that is preferred for them. */
const yieldEvery = 8

/** Keeps the slots of keys whose home this plain worker is, and writes them to the board. */
export class Homekeeper extends Controller {
  readonly name = 'homes'
  readonly interval = 300
  readonly #options: HomekeeperOptions
  #homes: Homes | undefined
  #channel: WireChannel | undefined
  #revision = 0
  #tenures = 0
  #updates = 0
  #voters: PlainAssignment['voters'] = []
  #toldAt = Infinity

  constructor (options: HomekeeperOptions) {
    super()
    this.#options = options
  }

  /** The book of a key's slot, while this worker is its home. */
  book (key: Key): Book | undefined {
    return this.#homes?.book(key.slot)
  }

  async update (): Promise<void> {
    const { board } = this.#options
    const assignment = board.read('assignment')
    if (assignment?.kind !== 'plain' || board.read('stopping')) return
    if (board.read('told')) return await this.#leave()
    this.#toldAt = Infinity
    if (!assignment.voters.some(each => each.id === this.#options.worker)) return await this.stop()
    if (this.#homes === undefined) this.#homes = this.#begin(assignment)
    else if (assignment.revision !== this.#revision) this.#move(assignment, this.#homes)
    this.#watch(assignment.service)
    if (board.read('upstream').healthy) this.#homes.update()
    if (++this.#updates % yieldEvery === 0) await this.#homes.yield((voter, handover) => this.#give(voter, handover))
    this.#note()
  }

  /** Gives every slot up, and its book to another voter. */
  async stop (): Promise<void> {
    const homes = this.#homes
    this.#homes = undefined
    await homes?.hand((voter, handover) => this.#give(voter, handover))
    this.#note()
  }

  /** Takes the book of a slot from another home, unless this worker could not serve the slot's keys. */
  inherit (handover: Handover): boolean {
    const taken = this.#options.board.read('serving') && this.#homes?.inherit(handover) === true
    if (taken) this.#options.log.write('home-inherits', { slot: handover.slot, runs: handover.book.runs.length })
    return taken
  }

  /** Gives every slot up once nothing runs any more, or has run for too long. */
  async #leave (): Promise<void> {
    const { clock, idle } = this.#options
    this.#toldAt = Math.min(this.#toldAt, clock.now())
    if (idle() || clock.now() - this.#toldAt > handPatience) await this.stop()
  }

  async #give (voter: string, handover: Handover): Promise<boolean> {
    const address = this.#voters.find(each => each.id === voter)?.address
    return address !== undefined && await this.#options.clients.worker(address).inherit(handover)
  }

  #begin (assignment: PlainAssignment): Homes {
    const { clock, clients, worker, period, leaseInterval, skew, keep, log } = this.#options
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
      tenure: () => ++this.#tenures,
      preferred: (slot, names) => ranked(`${service}/${slot}`, names),
      book: { skew, keep },
      listener: {
        held: slot => { log.write('home-held', { slot }); this.#note() },
        lost: slot => { log.write('home-lost', { slot }); this.#note() }
      }
    })
  }

  /** Goes by a later list of voters. A list is only ever one voter away from the one before. */
  #move ({ voters, revision }: PlainAssignment, homes: Homes): void {
    if (revision !== this.#revision + 1) {
      this.#homes = undefined
      homes.stop()
      return
    }
    this.#revision = revision
    this.#voters = voters
    this.#channel?.revise(voters, revision)
    homes.move(voters.map(each => each.id))
  }

  /** Tells the homes which slots this worker has granted to others, so that it does not claim them. */
  #watch (service: string): void {
    for (let slot = 0; slot < slotCount; slot++) {
      const holder = this.#options.grants.holder(`home/${service}/${slot}`)
      if (holder !== undefined) this.#homes?.seen(slot, holder)
    }
  }

  #note (): void {
    const { board } = this.#options
    const slots = this.#homes?.held ?? []
    if (JSON.stringify(slots) !== JSON.stringify(board.read('slots'))) board.write('slots', slots)
  }
}
