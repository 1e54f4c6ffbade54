/**
 * Emulated engines that form replicas under the real planner, simulated days that measure the planner's decisions, and
 * odd texts of other writers.
 */
export { Day, simulateDay, type DayResult } from './day.js'
export { EmulatedEngines, type Violation, type EngineService } from './engines.js'
export { advance, createPlanner, type PlannerOptions } from './planner.js'
export { oddJson, type OddChoice } from './oddjson.js'
