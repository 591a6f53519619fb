import type { BenchResult } from './result.js'

/**
 * @param result - result of a benchmark
 * @returns text with one line per row and aligned columns
 */
export function formatTable (result: BenchResult): string {
  const lines = [result.columns, ...result.rows].map(row => row.map(String))
  const widths = result.columns.map((_, column) => Math.max(...lines.map(line => line[column]?.length ?? 0)))
  const format = (line: readonly string[]): string => line.map((cell, column) => cell.padStart(widths[column] ?? 0)).join('  ')
  return [`${result.name}:`, ...lines.map(format)].join('\n')
}
