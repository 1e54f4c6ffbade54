/** The configuration by which a gateway serves callers, and the look-up tables for requests. */
export { Engine, Limits, Model, Route, Service, Share, Team, Traffic } from './shape.js'
export { RouteTable } from './routes.js'
export { TeamTable, keyDigest } from './teams.js'
export { pickShare } from './split.js'
