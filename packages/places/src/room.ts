/** What requests compete for: the heads of one model of a service. */

/** The heads of a model. */
export interface Room {
  readonly service: string
  /** Empty where requests name none. */
  readonly model: string
  /** By which it is known in maps, in heartbeats and by rendezvous hashing: part of the protocol. */
  readonly key: string
}

/** The room of a model. */
export function roomOf (service: string, model: string): Room {
  return { service, model, key: `${service}/${model}` }
}
