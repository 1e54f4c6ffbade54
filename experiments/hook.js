/** Loaded with `--import` into a run of the emulator: applies the variant that EIDERWIND_VARIANT names, in memory. */
import { register } from 'node:module'

register('./loader.js', import.meta.url)
