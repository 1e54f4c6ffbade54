#!/usr/bin/env node
import { main } from '../dist/src/index.js'

// A reader such as `head` that has seen enough closes the pipe: that is no failure of the command.
process.stdout.on('error', error => {
  if (error.code !== 'EPIPE') throw error
  process.exit(0)
})
process.exitCode = await main(process.argv)
