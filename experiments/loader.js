/**
 * A module loader (Node.js customization hooks) that applies the edits of the variant named by EIDERWIND_VARIANT to
 * files as they load.
 */
import { variants } from './variants.js'

const edits = variants[process.env.EIDERWIND_VARIANT] ?? []

export async function load (url, context, next) {
  const loaded = await next(url, context)
  const fileEdits = edits.filter(each => url.endsWith(each.file))
  if (fileEdits.length === 0) return loaded
  let source = loaded.source.toString()
  for (const { file, find, replace } of fileEdits) {
    if (source.split(find).length !== 2) throw new Error(`The variant ${process.env.EIDERWIND_VARIANT} no longer fits ${file}: its text to replace must occur exactly once.`)
    source = source.replace(find, () => replace)
  }
  return { ...loaded, source }
}
