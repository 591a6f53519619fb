import neostandard from 'neostandard'
import tsdoc from 'eslint-plugin-tsdoc'

export default [
  { ignores: ['dist/**', 'target/**', 'node_modules/**', 'test/snapshots/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['**/*.ts'],
    plugins: { tsdoc },
    rules: {
      'tsdoc/syntax': 'error',
      'no-console': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }]
    }
  },
  {
    files: ['test/**', 'demo/**', 'bench/**'],
    rules: {
      'no-console': 'off',
      'max-lines-per-function': 'off'
    }
  }
]
