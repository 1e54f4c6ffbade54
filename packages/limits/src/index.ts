/** Limits of upstreams, which all gateways keep together. */
export { TokenBucket } from './bucket.js'
export { ColdUpstreams, coldRate, type ColdReport, type ColdUpstreamsOptions } from './cold.js'
export { Issuer, type TokenRequest, type IssuerOptions, type Reply } from './issuer.js'
export { Limits, type LimitReport } from './limits.js'
export { decodeMessage, encodeMessage, type TokenMessage } from './messages.js'
export { Owners, type OwnersOptions } from './owners.js'
export { TokenClient, localSender, type Claim, type TokenClientOptions } from './tokenclient.js'
