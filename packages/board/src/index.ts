/** The blackboard, and the controllers that read and write it. */
export { Board, type FactListener } from './board.js'
export { Controller, Crew } from './controller.js'
