import { dispatch, spawn, start, stop, type ActorSystemRef, type Ref } from 'nact'
import { type Clock, type Subscription } from '@eiderwind/clock'

/** A part that looks at the board again and again and does what is due. */
export abstract class Controller {
  abstract readonly name: string
  /** Time between two updates, in ms. */
  abstract readonly interval: number
  /** Looks and acts. An error is told to the crew's `failed` and the next update comes as usual. */
  abstract update (): Promise<void>
}

/** Wakes one controller. */
interface Wake {
  readonly type: 'wake'
}

interface Hand {
  readonly actor: Ref<Wake>
  readonly timer: Subscription
}

/**
 * Runs controllers as actors: each handles one wake at a time, so that an update never overlaps itself, and a wake
 * that comes while one is already waiting is dropped.
 */
export class Crew {
  readonly #clock: Clock
  readonly #system: ActorSystemRef = start()
  readonly #failed: (controller: string, error: unknown) => void
  readonly #hands = new Map<string, Hand>()
  readonly #waiting = new Set<string>()

  constructor (clock: Clock, failed: (controller: string, error: unknown) => void) {
    this.#clock = clock
    this.#failed = failed
  }

  /** Starts a controller: now, and then at each interval. */
  add (controller: Controller): void {
    const actor = spawn(this.#system, async (state: undefined, _wake: Wake) => {
      this.#waiting.delete(controller.name)
      await controller.update().catch(error => this.#failed(controller.name, error))
      return state
    }, controller.name)
    const timer = this.#clock.every(controller.interval, () => this.wake(controller.name))
    this.#hands.set(controller.name, { actor, timer })
    this.wake(controller.name)
  }

  /** Has a controller look now, beside its interval. */
  wake (name: string): void {
    const hand = this.#hands.get(name)
    if (hand === undefined || this.#waiting.has(name)) return
    this.#waiting.add(name)
    dispatch(hand.actor, { type: 'wake' })
  }

  /** Stops every controller after the update that it is in. */
  stop (): void {
    for (const { timer } of this.#hands.values()) timer.cancel()
    this.#hands.clear()
    stop(this.#system)
  }
}
