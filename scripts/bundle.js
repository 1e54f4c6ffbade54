// Bundles the program that runs on the platform into one file.
// At each start fewer modules are then found and compiled.
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/dist/src/main.js'],
  outfile: 'target/eiderwind.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  legalComments: 'none',
  banner: { js: "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);" },
  logLevel: 'warning'
})
