import { type Clock } from '@eiderwind/clock'
import { type Log } from '@eiderwind/log'
import { type Roster } from '@eiderwind/roster'
import { type Connections } from '@eiderwind/wire'
import { type Choice } from './choice.js'
import { type DirectBoard } from './facts.js'
import { type Flights } from './flights.js'
import { type HeaderNames } from './names.js'
import { type Repeats } from './repeats.js'
import { type Suspects } from './suspects.js'
import { type Waiting } from './waiting.js'

/** What the ways of a request share. */
export interface Context {
  readonly clock: Clock
  readonly log: Log
  readonly board: DirectBoard
  readonly names: HeaderNames
  readonly roster: Roster
  readonly connections: Connections
  readonly flights: Flights
  readonly choice: Choice
  readonly suspects: Suspects
  readonly waiting: Waiting
  /** The repeats of a service. */
  readonly repeats: (service: string) => Repeats
}
