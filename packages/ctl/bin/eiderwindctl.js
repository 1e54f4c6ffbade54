#!/usr/bin/env node
import { main } from '../dist/src/index.js'

// A reader such as `head` may close the pipe early. The command does not fail then.
process.stdout.on('error', error => {
  if (error.code !== 'EPIPE') throw error
  process.exit(0)
})
process.exitCode = await main(process.argv)
