/** The planner that turns facts about nodes and services into the placement of a domain. */
export { emptyPlacement, type Action, type Facts, type Health, type NodeFact, type PlanStep, type Plan, type PlannerOptions } from './facts.js'
export { RepairingPlanner } from './repairing.js'
