/**
 * The configuration in force in one process. It owns that one value and its listeners, and relies on revisions alone: whichever
 * way a configuration arrives, only a higher revision replaces the present one.
 */
import { type Configuration, emptyConfiguration } from '@eiderwind/schema'

/** Called with each newer configuration. */
export type ConfigurationListener = (configuration: Configuration) => void

/** The configuration in force in one process. Its revision only rises, whatever the source and order of the configurations. */
export class Current {
  #configuration = emptyConfiguration
  readonly #listeners = new Set<ConfigurationListener>()

  get configuration (): Configuration {
    return this.#configuration
  }

  get revision (): number {
    return this.#configuration.revision
  }

  /** Takes a configuration if it is newer, and says whether it was. */
  accept (configuration: Configuration): boolean {
    if (configuration.revision <= this.#configuration.revision) return false
    this.#configuration = configuration
    for (const listener of this.#listeners) listener(configuration)
    return true
  }

  /** Calls `listener` with each newer configuration until the returned function is called. */
  listen (listener: ConfigurationListener): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }
}
