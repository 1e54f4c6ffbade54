/** What a request costs at an engine. */
export { expectedFirst, type Expectation, type HeadState } from './first.js'
export { requestTokens, type RequestTokens } from './tokens.js'
export { Unread } from './unread.js'
export { workOf } from './cost.js'
