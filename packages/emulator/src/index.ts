/**
 * Emulated engines that form replicas under the real planner, and simulated days that measure the planner's decisions.
 */
export { Day, simulateDay, type DayResult } from './day.js'
export { EmulatedEngines, type Violation, type EngineService } from './engines.js'
export { advance, createPlanner, type PlannerOptions } from './planner.js'
