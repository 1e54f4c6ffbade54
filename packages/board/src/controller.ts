/**
 * Control loops: `Controller` is one, `Scheduler` runs those of a process. Each update runs as an actor's message, so that it
 * never overlaps another update of the same controller. The roles `entry` and `worker` are built of these; the gateway
 * uses timers of its own.
 */
import { dispatch, spawn, start, stop, type ActorSystemRef, type Ref } from 'nact'
import { type Clock, type Subscription } from '@eiderwind/clock'

/** A control loop: at each update it reads the board, acts, and writes what it found. */
export abstract class Controller {
  /** Unique in the process. */
  abstract readonly name: string
  /** Time between two updates, in ms. */
  abstract readonly interval: number
  /** One round of the loop. Where it rejects, the scheduler reports the error and the next round runs as usual. */
  abstract update (): Promise<void>
}

/** The message that makes a controller update. */
interface Wake {
  readonly type: 'wake'
}

interface Running {
  readonly actor: Ref<Wake>
  readonly timer: Subscription
}

/** Runs controllers, each at its interval and on demand. A wake is dropped where one is already waiting. */
export class Scheduler {
  readonly #clock: Clock
  readonly #system: ActorSystemRef = start()
  readonly #failed: (controller: string, error: unknown) => void
  readonly #running = new Map<string, Running>()
  readonly #waiting = new Set<string>()

  /** @param failed called with each error of an update */
  constructor (clock: Clock, failed: (controller: string, error: unknown) => void) {
    this.#clock = clock
    this.#failed = failed
  }

  /** Starts a controller. Its first update runs now. */
  add (controller: Controller): void {
    const actor = spawn(this.#system, async (state: undefined, _wake: Wake) => {
      this.#waiting.delete(controller.name)
      await controller.update().catch(error => this.#failed(controller.name, error))
      return state
    }, controller.name)
    const timer = this.#clock.every(controller.interval, () => this.wake(controller.name))
    this.#running.set(controller.name, { actor, timer })
    this.wake(controller.name)
  }

  /** Updates a controller now, in addition to its interval. */
  wake (name: string): void {
    const running = this.#running.get(name)
    if (running === undefined || this.#waiting.has(name)) return
    this.#waiting.add(name)
    dispatch(running.actor, { type: 'wake' })
  }

  /** Stops every controller. Updates that are running finish. */
  stop (): void {
    for (const { timer } of this.#running.values()) timer.cancel()
    this.#running.clear()
    stop(this.#system)
  }
}
