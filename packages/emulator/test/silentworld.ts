/**
 * Emulated engines that fall silent and go on. A silent engine answers neither probes nor orders; orders and answers
 * wait, and are carried out when the silence ends. Engines also really die, and the planner's link to an engine may be
 * cut in one direction. Owns the state of these faults. Relies on the emulated engines to carry out orders.
 */
import { type ProbeResult } from '@eiderwind/detect'
import { type Order, type OrderResult } from '@eiderwind/forming'
import { World } from './world.js'

/** Time-outs of an order and of a probe, in ms, as those of the platform. */
const orderTimeout = 700
const probeTimeout = 280

/** Time between two heartbeats of an engine, in ms. */
const heartbeatInterval = 1200

/** Time for which a fault that is over still excuses an order that was decided in it, in ms. */
const excuseTime = 5000

/** How an engine dies: its process ends and connections are refused, or its machine ends and nothing answers. */
export type Death = 'process' | 'machine'

/** Which direction of the planner's link to an engine is cut: its calls are lost, or the answers are. */
export type CutDirection = 'calls' | 'answers'

interface Silence {
  /** Times on the clock, in ms. */
  readonly since: number
  readonly until: number
  /** Whether the engine writes no heartbeats meanwhile. */
  readonly holdsHeartbeats: boolean
}

/** Engines that may be silent. */
export class SilentWorld extends World {
  /** Called when a head has carried out an order to close. */
  closed: (order: Order) => void = () => {}
  /** The delay of an order that is carried out late, in ms; undefined if it is carried out at once. */
  lateness: (order: Order) => number | undefined = () => undefined
  /** Engines that their heads cannot reach. The streams of their replicas stand still. */
  readonly partitioned = new Set<string>()
  readonly #silences = new Map<string, Silence>()
  readonly #deaths = new Map<string, { readonly how: Death, readonly at: number }>()
  readonly #cuts = new Map<string, CutDirection>()
  /** When an engine was last excused, on the clock. */
  readonly #excusedUntil = new Map<string, number>()

  /** Makes an engine silent. @param time in ms */
  silence (id: string, time: number, holdsHeartbeats: boolean): void {
    const now = this.clock.now()
    this.#silences.set(id, { since: now, until: now + time, holdsHeartbeats })
  }

  isSilent (id: string): boolean {
    return (this.#silences.get(id)?.until ?? -Infinity) > this.clock.now()
  }

  /** Whether an engine has been neither silent nor dead for `time` ms. */
  hasAnsweredFor (id: string, time: number): boolean {
    return !this.#deaths.has(id) && (this.#silences.get(id)?.until ?? -Infinity) + time <= this.clock.now()
  }

  die (id: string, how: Death): void {
    this.#deaths.set(id, { how, at: this.clock.now() })
    this.kill(id)
  }

  /** How an engine has died; undefined if it lives. */
  deathOf (id: string): Death | undefined {
    return this.#deaths.get(id)?.how
  }

  /** Cuts the planner's link to an engine. @param time in ms */
  cutLink (id: string, direction: CutDirection, time: number): void {
    this.#cuts.set(id, direction)
    this.excuse(id, time)
    this.clock.after(time, () => this.#cuts.delete(id))
  }

  /** Records that an engine has real trouble for `time` ms, so that orders may end what it does. */
  excuse (id: string, time: number): void {
    this.#excusedUntil.set(id, Math.max(this.#excusedUntil.get(id) ?? 0, this.clock.now() + time + excuseTime))
  }

  /** Whether an engine works and stays: whatever it may seem, nothing speaks against it but silence. */
  isSound (id: string): boolean {
    const listed = this.roster.find(id)
    return listed !== undefined && !this.#deaths.has(id) && !this.upstream(id).leaving && (this.#excusedUntil.get(id) ?? 0) < this.clock.now()
  }

  /** Whether the streams of a replica with these members make progress. */
  progresses (members: readonly string[]): boolean {
    return members.every(id => !this.#deaths.has(id) && !this.isSilent(id) && !this.partitioned.has(id))
  }

  override async send (order: Order): Promise<OrderResult> {
    if (this.#deaths.get(order.node)?.how === 'process') return 'closed'
    return await Promise.race([this.#deliver(order), this.clock.wait(orderTimeout).then(() => 'unanswered' as const)])
  }

  async #deliver (order: Order): Promise<OrderResult> {
    const { node } = order
    const delay = this.lateness(order)
    if (delay !== undefined) await this.clock.wait(delay)
    for (let silence = this.#silences.get(node); silence !== undefined && this.isSilent(node); silence = this.#silences.get(node)) await this.clock.wait(silence.until - this.clock.now())
    const cut = this.#cuts.get(node)
    if (this.#deaths.has(node) || cut === 'calls') return await this.#unanswered()
    const wasOpen = this.#isOpen(order)
    const carriedOut = super.send(order)
    if (order.kind === 'close' && wasOpen && !this.#isOpen(order)) this.closed(order)
    return cut === undefined ? await carriedOut : await this.#unanswered()
  }

  async #unanswered (): Promise<OrderResult> {
    await this.clock.wait(orderTimeout)
    return 'unanswered'
  }

  #isOpen ({ node, replica, epoch }: Order): boolean {
    const { membership } = this.upstream(node)
    return membership?.replica === replica && membership.epoch === epoch && membership.state === 'open'
  }

  protected override async probeResult (id: string): Promise<ProbeResult> {
    const death = this.#deaths.get(id)
    if (death?.how === 'process') return 'refused'
    const remaining = this.isSilent(id) ? (this.#silences.get(id)?.until ?? 0) - this.clock.now() : 0
    const answers = death === undefined && !this.#cuts.has(id) && remaining <= probeTimeout
    await this.clock.wait(answers ? remaining : probeTimeout)
    return answers ? 'answered' : 'silent'
  }

  /** Heartbeats are written at fixed times. Those that a silence held back come at its end. */
  protected override heartbeatCount (id: string): number {
    const silence = this.#silences.get(id)
    const heldSince = silence?.holdsHeartbeats === true && this.isSilent(id) ? silence.since : Infinity
    const time = Math.min(this.clock.now(), heldSince, this.#deaths.get(id)?.at ?? Infinity)
    return Math.floor((time + phaseOf(id)) / heartbeatInterval)
  }
}

/** Part of the interval by which the heartbeats of an engine are shifted, in ms, so that not all come at once. */
function phaseOf (id: string): number {
  return [...id].reduce((sum, each) => (sum * 31 + each.charCodeAt(0)) % heartbeatInterval, 0)
}
