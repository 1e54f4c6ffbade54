/**
 * A module for `--import` in test and daemon processes. It registers the loader that applies the breakage named by
 * EIDERWIND_BREAKAGE.
 */
import { register } from 'node:module'

register('./loader.js', import.meta.url)
