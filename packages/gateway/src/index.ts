/** The process between callers and upstreams. */
export { Gateway, type GatewayOptions } from './gateway.js'
export { type GatewaySettings } from './settings.js'
export { Platform, type PlatformListener } from './platform.js'
