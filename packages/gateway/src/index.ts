/** The process between callers and upstreams. */
export { Gateway, type GatewayOptions, type GatewaySettings } from './gateway.js'
export { Platform, type Follower } from './platform.js'
