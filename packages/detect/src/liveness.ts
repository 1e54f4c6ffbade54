import { type Clock } from '@eiderwind/clock'
import { type Roster } from '@eiderwind/roster'
import { type Probes } from './probes.js'

/** A node of a replica, and where it answers. */
export interface NodeAddress {
  readonly id: string
  readonly address: string
}

/** The nodes of a replica that was decided on, the head first. */
export interface ReplicaNodes {
  readonly members: readonly NodeAddress[]
}

/** What is needed to tell whether engines live. Spans are in ms. */
export interface LivenessOptions {
  readonly clock: Clock
  readonly roster: Roster
  readonly probes: Probes
  /** Heads whose streams stand still, as any entry sees it. */
  readonly suspects: () => ReadonlySet<string>
  /** Time between two changes of an upstream's pulse. */
  readonly pulseTime: number
  /** When this process last woke from standing still itself, on `Clock.now`. */
  readonly wokeAt: () => number
  /** Told when something else may be known of an engine. */
  readonly changed: () => void
  /** Told of a failure that is gone on after. */
  readonly failed: (error: unknown) => void
}

/** An engine that is suspected is asked this often, in ms. */
const askInterval = 600

/** A head that leaves this many orders unanswered has ended, once the platform hears nothing of it either. */
const mostUnanswered = 2

/** A pulse that stands still for this many of its times has stopped, and how often it is looked at, in ms. */
const pulses = 1.4
const pulseInterval = 250

interface Pulse {
  readonly value: number | undefined
  /** Since when the value is the same, on `Clock.now`. */
  readonly since: number
  readonly lookedAt: number
}

/** Finds out which engines are silent, and which heads have certainly ended. */
export class Liveness {
  readonly #options: LivenessOptions
  readonly #silent = new Set<string>()
  readonly #ended = new Set<string>()
  /** Orders to close in a row that a head left unanswered. */
  readonly #unanswered = new Map<string, number>()
  readonly #pulses = new Map<string, Pulse>()
  readonly #askedAt = new Map<string, number>()

  constructor (options: LivenessOptions) {
    this.#options = options
  }

  /** Ids of engines that do not answer. */
  get silent (): ReadonlySet<string> {
    return this.#silent
  }

  /** Ids of heads that certainly serve no more. */
  get ended (): ReadonlySet<string> {
    return this.#ended
  }

  /** Asks whoever is in doubt in a domain, and judges its heads. */
  examine (replicas: readonly ReplicaNodes[]): void {
    this.#suspect(replicas)
    this.#bury(replicas)
  }

  /** Takes a head's answer to an order to close: one that is no longer listed has ended when it answers. */
  closed (node: string, answered: boolean): void {
    this.#unanswered.set(node, answered ? 0 : (this.#unanswered.get(node) ?? 0) + 1)
    if (answered && this.#options.roster.find(node) === undefined) this.#ended.add(node)
  }

  /** Forgets what was judged of engines that are long gone and placed nowhere. */
  sweep (replicas: readonly ReplicaNodes[]): void {
    const { roster } = this.#options
    const placed = new Set(replicas.flatMap(({ members }) => members.map(({ id }) => id)))
    for (const judged of [this.#silent, this.#ended, this.#unanswered, this.#pulses, this.#askedAt]) {
      for (const id of judged.keys()) {
        if (!placed.has(id) && roster.find(id) === undefined && roster.departure(id) === undefined) judged.delete(id)
      }
    }
  }

  /** Asks every member of a replica whose head is suspected whether it is there. */
  #suspect (replicas: readonly ReplicaNodes[]): void {
    const suspects = this.#options.suspects()
    for (const replica of replicas) {
      const doubtful = suspects.has(replica.members[0].id) || replica.members.some(({ id }) => this.#silent.has(id))
      if (doubtful) for (const each of replica.members) this.#ask(each)
    }
    for (const id of [...this.#silent, ...this.#options.roster.lapsed]) {
      const address = this.#options.roster.find(id)?.address
      if (address === undefined) this.#silent.delete(id)
      else this.#ask({ id, address })
    }
  }

  /** Asks an engine whether it is there. Silence counts only where this process did not stand still itself meanwhile. */
  #ask ({ id, address }: NodeAddress): void {
    const { clock, probes, roster, wokeAt, changed, failed } = this.#options
    const askedAt = clock.now()
    if (roster.find(id) === undefined || askedAt - (this.#askedAt.get(id) ?? -Infinity) < askInterval) return
    this.#askedAt.set(id, askedAt)
    probes.answers(address).then(there => {
      if (there) this.#silent.delete(id)
      else if (wokeAt() < askedAt) this.#silent.add(id)
      changed()
    }).catch(failed)
  }

  /** Heads that answer nobody and of which the platform hears nothing have ended. Their pulse is felt from the first suspicion on. */
  #bury (replicas: readonly ReplicaNodes[]): void {
    const suspects = this.#options.suspects()
    for (const { members: [{ id }] } of replicas) {
      const unanswered = this.#unanswered.get(id) ?? 0
      if (unanswered === 0 && !this.#silent.has(id) && !suspects.has(id)) this.#pulses.delete(id)
      else if (this.#options.roster.find(id) !== undefined) this.#feel(id)
      else if (unanswered >= mostUnanswered || (unanswered > 0 && this.#silent.has(id))) this.#ended.add(id)
    }
  }

  /** Looks whether the pulse of a head stands still. */
  #feel (id: string): void {
    const { clock, probes, pulseTime, changed, failed } = this.#options
    const known = this.#pulses.get(id)
    const lookedAt = clock.now()
    if (known !== undefined && lookedAt - known.lookedAt < pulseInterval) return
    this.#pulses.set(id, { value: known?.value, since: known?.since ?? Infinity, lookedAt })
    probes.pulse(id).then(value => {
      const since = value !== undefined && value === known?.value ? Math.min(known.since, lookedAt) : clock.now()
      this.#pulses.set(id, { value, since, lookedAt })
      const still = value !== undefined && clock.now() - since >= pulses * pulseTime
      if (still && this.#silent.has(id) && (this.#unanswered.get(id) ?? 0) > 0) this.#ended.add(id)
      changed()
    }).catch(failed)
  }
}
