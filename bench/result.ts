/** Options and results of benchmarks. */

/** Result table of a benchmark, printed as text, as JSON or as a plot; the first columns label the row. */
export interface BenchResult {
  readonly name: string
  readonly columns: readonly string[]
  readonly rows: readonly (readonly (string | number)[])[]
}

/** Options of a benchmark run. */
export interface BenchOptions {
  /** Seed of the random number generator; 32-bit integer. */
  readonly seed: number
}

/** A benchmark; the same seed gives the same result, except for measured times and real processes. */
export type Bench = (options: BenchOptions) => BenchResult | Promise<BenchResult>
