/** JSON of anybody's making, as it arrives on an open port. */

/** What a text says in JSON, or undefined where it is none: whoever checks the shape finds that it does not fit. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // Anything can arrive on an open port.
    return undefined
  }
}
