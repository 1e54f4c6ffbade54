/** What a request costs at an engine. */
export { expectedFirst, type Expectation, type HeadState, type Subject } from './first.js'
export { requestTokens, type RequestTokens } from './tokens.js'
export { Forecast } from './forecast.js'
export { RunningMedian } from './median.js'
export { Unread } from './unread.js'
export { workOf } from './cost.js'
