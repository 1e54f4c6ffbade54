/** The entry before upstreams that it calls directly. */
export { Direct, type DirectOptions, type DirectSettings } from './direct.js'
export { Platform, type Follower } from './platform.js'
export { type HeaderNames } from './names.js'
export { EventSplitter, type StreamEvent } from './events.js'
export { Repeats, type RepeatOptions } from './repeats.js'
export { Waiting } from './waiting.js'
export { Flights, Flight } from './flights.js'
export { Suspects } from './suspects.js'
