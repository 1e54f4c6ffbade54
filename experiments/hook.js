/**
 * A module for `--import` in runs of the emulator. It registers the loader that applies the variant named by
 * EIDERWIND_VARIANT.
 */
import { register } from 'node:module'

register('./loader.js', import.meta.url)
