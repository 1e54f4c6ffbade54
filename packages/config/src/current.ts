/**
 * The current configuration of one process. It owns this value and its listeners. It relies on revisions only: a
 * configuration from any source replaces the current one only if its revision is higher.
 */
import { type Configuration, emptyConfiguration } from '@eiderwind/schema'

/** Called with each newer configuration. */
export type ConfigurationListener = (configuration: Configuration) => void

/** The current configuration of one process. Its revision never decreases, in whichever order configurations arrive. */
export class CurrentConfiguration {
  #configuration = emptyConfiguration
  readonly #listeners = new Set<ConfigurationListener>()

  get configuration (): Configuration {
    return this.#configuration
  }

  get revision (): number {
    return this.#configuration.revision
  }

  /** Replaces the configuration if the given one is newer. Returns whether it was newer. */
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
