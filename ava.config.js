export default {
  files: ['dist/test/**/*.test.js'],
  snapshotDir: 'test/snapshots',
  timeout: '120s',
  concurrency: 4
}
