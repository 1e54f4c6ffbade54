/** What a request costs at an engine, and when its first event is expected. */
export { expectedFirstEventTime, type Expectation, type HeadState, type ModelRequest } from './first.js'
export { requestTokens, type RequestTokens } from './tokens.js'
export { Forecast } from './forecast.js'
export { RunningMedian } from './median.js'
export { Unread } from './unread.js'
export { workOf } from './cost.js'
