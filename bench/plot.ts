import type { BenchResult } from './result.js'

const BAR_HEIGHT = 16
const LABEL_WIDTH = 260
const BAR_WIDTH = 420
const PANEL_GAP = 28

/**
 * Draws a bar chart for each numeric column; bars are labelled with the text
 * columns of their row.
 *
 * @param result - result of a benchmark
 * @returns SVG text
 */
export function drawPlot (result: BenchResult): string {
  const numeric = result.columns.map((_, column) => column).filter(column => result.rows.every(row => typeof row[column] === 'number'))
  const panelHeight = result.rows.length * BAR_HEIGHT + PANEL_GAP
  const panels = numeric.map((column, index) => drawPanel(result, column, index * panelHeight))
  const height = numeric.length * panelHeight + PANEL_GAP
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${LABEL_WIDTH + BAR_WIDTH + 120}" height="${height}" font-family="sans-serif" font-size="11">\n${panels.join('\n')}\n</svg>\n`
}

function drawPanel (result: BenchResult, column: number, top: number): string {
  const max = Math.max(1e-9, ...result.rows.map(row => Number(row[column])))
  const bars = result.rows.map((row, index) => {
    const y = top + PANEL_GAP + index * BAR_HEIGHT
    const label = escapeText(row.filter(cell => typeof cell === 'string').join(' · '))
    const width = (Math.max(0, Number(row[column])) / max * BAR_WIDTH).toFixed(1)
    return `<text x="${LABEL_WIDTH - 6}" y="${y + 12}" text-anchor="end">${label}</text><rect x="${LABEL_WIDTH}" y="${y + 2}" width="${width}" height="${BAR_HEIGHT - 4}" fill="#4878a8"/><text x="${LABEL_WIDTH + BAR_WIDTH + 6}" y="${y + 12}">${row[column] ?? ''}</text>`
  })
  return `<text x="${LABEL_WIDTH}" y="${top + PANEL_GAP - 8}" font-weight="bold">${escapeText(`${result.name}: ${result.columns[column] ?? ''}`)}</text>\n${bars.join('\n')}`
}

function escapeText (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;')
}
