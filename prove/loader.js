/** A module loader that changes one file's text while it is loaded (Node.js customization hooks). */
import { breakages } from './breakages.js'

const breakage = breakages.find(each => each.name === process.env.EIDERWIND_BREAKAGE)

export async function load (url, context, next) {
  const loaded = await next(url, context)
  if (breakage === undefined || !url.endsWith(breakage.file)) return loaded
  const text = loaded.source.toString()
  if (text.split(breakage.find).length !== 2) throw new Error(`The breakage ${breakage.name} does not fit ${breakage.file} any more.`)
  return { ...loaded, source: text.replace(breakage.find, () => breakage.replace) }
}
