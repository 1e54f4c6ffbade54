/**
 * Control loops. A `Controller` is one loop, and a `Scheduler` runs all loops of a process. Each update is a message to
 * an actor, so that two updates of one controller never overlap. The roles `entry` and `worker` consist of controllers;
 * the gateway uses its own timers.
 */
import { dispatch, spawn, start, stop, type ActorSystemRef, type Ref } from 'nact'
import { type Clock, type Subscription } from '@eiderwind/clock'

/** A control loop. Each update reads the board, acts, and writes its results to the board. */
export abstract class Controller {
  /** The name of the controller, unique in the process. */
  abstract readonly name: string
  /** Time between two updates, in ms. */
  abstract readonly interval: number
  /** One run of the loop. If it rejects, the scheduler reports the error, and the next update runs as usual. */
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

/**
 * Runs each controller at its interval and on demand. A request for an update is dropped if an earlier request for the
 * same controller is still pending.
 */
export class Scheduler {
  readonly #clock: Clock
  readonly #system: ActorSystemRef = start()
  readonly #onFailure: (controller: string, error: unknown) => void
  readonly #running = new Map<string, Running>()
  readonly #pendingWakes = new Set<string>()

  /** @param onFailure called when an update rejects, with the name of the controller and the error */
  constructor (clock: Clock, onFailure: (controller: string, error: unknown) => void) {
    this.#clock = clock
    this.#onFailure = onFailure
  }

  /** Starts a controller, with a first update at once. */
  add (controller: Controller): void {
    const actor = spawn(this.#system, async (state: undefined, _wake: Wake) => {
      this.#pendingWakes.delete(controller.name)
      await controller.update().catch(error => this.#onFailure(controller.name, error))
      return state
    }, controller.name)
    const timer = this.#clock.every(controller.interval, () => this.wake(controller.name))
    this.#running.set(controller.name, { actor, timer })
    this.wake(controller.name)
  }

  /** Requests an update of a controller now, in addition to its interval. */
  wake (name: string): void {
    const running = this.#running.get(name)
    if (running === undefined || this.#pendingWakes.has(name)) return
    this.#pendingWakes.add(name)
    dispatch(running.actor, { type: 'wake' })
  }

  /** Stops all controllers. Running updates finish. */
  stop (): void {
    for (const { timer } of this.#running.values()) timer.cancel()
    this.#running.clear()
    stop(this.#system)
  }
}
