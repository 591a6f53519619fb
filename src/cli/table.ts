/**
 * @param rows - cells; the first row has the names of the columns
 * @returns lines with aligned columns
 */
export function formatTable (rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_name, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)))
  return rows.map(row => `${row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()}\n`).join('')
}
