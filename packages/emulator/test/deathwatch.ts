/**
 * Measures what follows after an engine of an open replica has really died: when the replica is closed, when its streams
 * can go on elsewhere, and when as many replicas of its model serve again. Also knows the members of open replicas, and
 * whether the fleet has changed.
 */
import { eventInterval, type Departure, type Gateways, type Stream } from './gateways.js'
import { type Death, type SilentWorld } from './silentworld.js'

/** What followed after the death of one engine of an open replica. Times are in ms since the death. */
export interface DeathRecord {
  readonly how: Death
  readonly part: 'head' | 'member'
  /** When the head stopped serving, or the replica was dissolved; undefined if neither happened. */
  closed: number | undefined
  /** When as many replicas of the model served as before. */
  reformed: number | undefined
  /** When each stream that was there at the death left the head, and how. Those that are resumable go on elsewhere. */
  readonly streams: Array<{ readonly after: number, readonly how: Departure, readonly resumable: boolean }>
}

interface WatchedDeath extends DeathRecord {
  readonly at: number
  readonly head: string
  readonly replica: string
  readonly model: string
  /** Number of replicas of the model that served before. */
  readonly serving: number
}

/** Watches the deaths of engines. */
export class DeathWatch {
  readonly #world: SilentWorld
  readonly #isPlaced: (replica: string) => boolean
  readonly #watched: WatchedDeath[] = []
  readonly #members = new Map<string, readonly string[]>()
  #changedAt = -Infinity

  /** @param isPlaced whether the planners still mean to have a replica, by name */
  constructor (world: SilentWorld, isPlaced: (replica: string) => boolean) {
    this.#world = world
    this.#isPlaced = isPlaced
    world.clock.every(eventInterval, () => this.#check())
  }

  /** What followed after each death in an open replica. */
  get records (): readonly DeathRecord[] {
    return this.#watched.map(({ how, part, closed, reformed, streams }) => ({ how, part, closed, reformed, streams }))
  }

  /** Whether an engine has died, left or arrived. */
  get hasFleetChanged (): boolean {
    return this.#changedAt > -Infinity || this.#world.roster.upstreams.some(each => each.leaving)
  }

  /** The members of the replica that a head serves or served last. */
  membersOf (head: string): readonly string[] {
    return this.#members.get(head) ?? [head]
  }

  /** Records that an engine is about to die. */
  dying (id: string, how: Death, { streams }: Gateways): void {
    this.#changedAt = this.#world.clock.now()
    const replica = this.#world.openReplicas.find(({ members }) => members.includes(id))
    if (replica === undefined || !replica.members.every(each => this.#world.isSound(each))) return
    const { head, model } = replica
    const { membership } = this.#world.upstream(head)
    if (![...streams].some(each => each.head === head)) return
    this.#watched.push({ how, part: id === head ? 'head' : 'member', at: this.#world.clock.now(), head, replica: membership?.replica ?? '', model, serving: this.#serving(model), closed: undefined, reformed: undefined, streams: [] })
  }

  closed (head: string): void {
    for (const each of this.#watched) if (each.head === head) each.closed ??= this.#since(each)
  }

  streamLeft ({ head, replica, resumable, request }: Stream, how: Departure): void {
    const death = this.#watched.find(each => each.head === head && each.replica === replica && request.sentAt <= each.at)
    if (death !== undefined) death.streams.push({ after: this.#since(death), how, resumable })
  }

  #check (): void {
    for (const { head, members } of this.#world.openReplicas) this.#members.set(head, members)
    for (const each of this.#watched) {
      if (each.closed === undefined && !this.#isPlaced(each.replica)) each.closed = this.#since(each)
      if (each.closed !== undefined && each.reformed === undefined && this.#serving(each.model) >= each.serving) each.reformed = this.#since(each)
    }
  }

  #since ({ at }: WatchedDeath): number {
    return this.#world.clock.now() - at
  }

  #serving (model: string): number {
    return this.#world.openReplicas.filter(each => each.model === model && each.members.every(id => this.#world.deathOf(id) === undefined)).length
  }
}
