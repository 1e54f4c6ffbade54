import { type Configuration, emptyConfiguration } from '@eiderwind/schema'

/** Is told of each newer configuration. */
export type ConfigurationListener = (configuration: Configuration) => void

/** The configuration in force in one process. Its revision only rises, whoever brings a configuration and in whichever order. */
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

  /** Tells `listener` of each newer configuration until the returned function is called. */
  listen (listener: ConfigurationListener): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }
}
