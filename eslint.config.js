import neostandard from 'neostandard'

export default [
  ...neostandard({
    ts: true,
    ignores: ['**/dist/**', 'packages/rpc/src/gen/**', 'node_modules/**', 'target/**', 'journal/**']
  }),
  {
    // A type inferred from a schema carries the schema's name; the compiler itself refuses real redeclarations.
    files: ['**/*.ts'],
    rules: { '@typescript-eslint/no-redeclare': 'off' }
  }
]
