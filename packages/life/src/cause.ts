/** The cause of an error, as text for the log. */

/** The stack of an error. Any value can be thrown, so it may have none. */
export function causeOf (error: unknown): string {
  return error instanceof Error ? error.stack ?? String(error) : String(error)
}
