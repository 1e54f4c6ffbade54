/** HTTP between processes: connections, calls, receivers of answers, servers, and the calls of `entry` and `worker`. */
export { callerHeaders, callsPath, header, hopHeaders, sessionsPath, wireHeaders } from './headers.js'
export {
  EntryCalls, ExchangeMessage, WorkerCalls, entryRouter, workerRouter,
  type ClaimAnswer, type ClaimMessage, type EntryRouter, type ExchangeAnswer, type KnownState, type SettleAnswer, type SettleMessage, type WorkerRouter
} from './calls.js'
export { Clients } from './client.js'
export { answerFault, breakOff, refuse } from './answer.js'
export { closeIdleConnections, listen, makeServer, serve, type Handler, type ServeOptions } from './serve.js'
export { untilQuiet, type QuietOptions } from './quiet.js'
export { readBody, type BodyRoom } from './body.js'
export { Receiver, send, type AnswerHeaders, type CallFailure, type Call, type Cancel, type Flow } from './call.js'
export { collectedHeaders, endToEndHeaders, endsWithConnection, isFramed, writeForwardedHead } from './framing.js'
export { Relay, type RelayOptions } from './relay.js'
export { Bytes } from './bytes.js'
export { Collector, type Collected, type CollectorOptions } from './collector.js'
export { Connections, type ConnectionsOptions } from './connections.js'
export { parseJson } from './json.js'
export { probeAddress, type AddressState } from './listens.js'
export { CallError, ask, type AskOptions } from './ask.js'
