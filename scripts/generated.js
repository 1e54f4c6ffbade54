// Checks that the committed generated code equals what the schema generates.
import { spawnSync } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const generated = 'packages/rpc/src/gen/eiderwind/v1/operators_pb.ts'
const folder = mkdtempSync(join(tmpdir(), 'eiderwind-generated-'))
const template = join(folder, 'buf.gen.yaml')
writeFileSync(template, readFileSync('packages/rpc/buf.gen.yaml', 'utf8').replace('packages/rpc/src/gen', join(folder, 'gen')))
const run = spawnSync('npx', ['buf', 'generate', 'packages/rpc/proto', '--template', template], { stdio: 'inherit' })
const same = run.status === 0 && readFileSync(join(folder, 'gen/eiderwind/v1/operators_pb.ts'), 'utf8') === readFileSync(generated, 'utf8')
rmSync(folder, { recursive: true })
if (!same) process.stderr.write(`${generated} differs from what the schema generates. Run npm run generate and commit the result.\n`)
process.exitCode = same ? 0 : 1
