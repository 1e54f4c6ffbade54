/** A module loader that changes the text of files while they are loaded (Node.js customization hooks). */
import { variants } from './variants.js'

const edits = variants[process.env.EIDERWIND_VARIANT] ?? []

export async function load (url, context, next) {
  const loaded = await next(url, context)
  const own = edits.filter(each => url.endsWith(each.file))
  if (own.length === 0) return loaded
  let source = loaded.source.toString()
  for (const { file, find, replace } of own) {
    if (source.split(find).length !== 2) throw new Error(`The variant ${process.env.EIDERWIND_VARIANT} does not fit ${file} any more.`)
    source = source.replace(find, () => replace)
  }
  return { ...loaded, source }
}
