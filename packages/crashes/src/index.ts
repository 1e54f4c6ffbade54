/** Which requests crash the upstreams that run them. */
export { fingerprint, type RequestContent } from './fingerprint.js'
