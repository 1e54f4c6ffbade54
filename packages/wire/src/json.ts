/** Parses untrusted JSON, as it arrives on an open port. */

/** The value of a JSON text, or undefined if the text is not JSON. The caller's schema check then rejects undefined. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // Invalid text is expected on an open port and is no error of this process.
    return undefined
  }
}
