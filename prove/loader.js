/**
 * A module loader (Node.js customization hooks) that applies the breakage named by EIDERWIND_BREAKAGE to its file as
 * it loads.
 */
import { breakages } from './breakages.js'

const breakage = breakages.find(each => each.name === process.env.EIDERWIND_BREAKAGE)

export async function load (url, context, next) {
  const loaded = await next(url, context)
  if (breakage === undefined || !url.endsWith(breakage.file)) return loaded
  const text = loaded.source.toString()
  if (text.split(breakage.find).length !== 2) throw new Error(`The breakage ${breakage.name} no longer fits ${breakage.file}: its text to replace must occur exactly once.`)
  return { ...loaded, source: text.replace(breakage.find, () => breakage.replace) }
}
