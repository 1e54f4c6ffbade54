/** The process between callers and upstreams. */
export { Blocks } from './blocks.js'
export { Gateway } from './gateway.js'
export { type GatewayOptions, type GatewaySettings } from './settings.js'
export { Leaders, noLeader, type Leader } from './leaders.js'
export { Platform, type Completeness, type PlatformListener, type StoreUse } from './platform.js'
