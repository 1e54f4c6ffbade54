/** An emulation of engines that form replicas, and the tool that compares decisions on it. */
export { Day, playDay, type DayResult } from './day.js'
export { EmulatedEngines, type Broken, type EngineService } from './engines.js'
export { pass, planner, type PlannerOptions } from './planner.js'
