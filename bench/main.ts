/** `npm run bench -- NAME`: runs one benchmark and prints its results. */

import { writeFileSync } from 'node:fs'
import { cac } from 'cac'
import { formatTable } from './table.js'
import { drawPlot } from './plot.js'
import type { Bench } from './result.js'

const LOADERS: Readonly<Record<string, () => Promise<{ readonly run: Bench }>>> = {
  cold: async () => await import('./cold.js'),
  'cold-fleet': async () => await import('./cold-fleet.js'),
  experts: async () => await import('./experts.js'),
  drill: async () => await import('./drill.js'),
  limits: async () => await import('./limits.js'),
  overload: async () => await import('./overload.js'),
  path: async () => await import('./path.js'),
  parts: async () => await import('./parts.js'),
  routing: async () => await import('./routing.js'),
  slopes: async () => await import('./slopes.js'),
  'slopes-kernels': async () => ({ run: (await import('./slopes.js')).runKernels })
}

const cli = cac('bench')
cli.command('<name>', `Run a benchmark: ${Object.keys(LOADERS).join(', ')}`)
  .option('--seed <seed>', 'Seed of the random number generator', { default: 1 })
  .option('--json', 'Print JSON')
  .option('--plot <file>', 'Write an SVG plot')
  .action(async (name: string, options: { readonly seed: number, readonly json?: boolean, readonly plot?: string }) => {
    const load = LOADERS[name]
    if (load === undefined) {
      console.error(`unknown benchmark ${name}; available: ${Object.keys(LOADERS).join(', ')}`)
      process.exitCode = 2
      return
    }
    const result = await (await load()).run({ seed: Number(options.seed) })
    console.log(options.json === true ? JSON.stringify(result) : formatTable(result))
    if (options.plot !== undefined) writeFileSync(options.plot, drawPlot(result))
  })
cli.help()
cli.parse()
