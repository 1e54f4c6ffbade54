/** Loaded with `--import` into test and daemon processes: applies the breakage that EIDERWIND_BREAKAGE names, in memory. */
import { register } from 'node:module'

register('./loader.js', import.meta.url)
