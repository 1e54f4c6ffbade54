/** The blackboard of a process (its shared state), and the control loops that read and write it. */
export { Board, type FactListener } from './board.js'
export { Controller, Scheduler } from './controller.js'
