/** Result of a bench, printed as a table, as JSON or as a plot. */

/** One table of figures; the first column names the row. */
export interface BenchResult {
  readonly name: string
  readonly columns: readonly string[]
  readonly rows: readonly (readonly (string | number)[])[]
}

/** What a bench is run with. */
export interface BenchOptions {
  /** Seed of random numbers; 32-bit integer. */
  readonly seed: number
}

/** A bench; the same seed gives the same figures unless it measures real processes. */
export type Bench = (options: BenchOptions) => BenchResult | Promise<BenchResult>
