/** A room: the free capacity at the heads of one model of a service, for which its requests compete. */

/** The room of one model. */
export interface Room {
  readonly service: string
  /** Empty if requests name no model. */
  readonly model: string
  /** Identifies the room in maps, in heartbeats and in rendezvous hashing. It is part of the protocol. */
  readonly key: string
}

/** The room of a model of a service. Only this function builds `key`, so that all gateways use the same one. */
export function roomOf (service: string, model: string): Room {
  return { service, model, key: `${service}/${model}` }
}
