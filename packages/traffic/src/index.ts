/** The configuration that a gateway serves callers by, and the tables by which each request is looked up. */
export { Engine, Limits, Model, Route, Service, Share, Team, Traffic } from './shape.js'
export { RouteTable } from './routes.js'
export { TeamTable, keyDigest } from './teams.js'
export { pickShare } from './split.js'
