/** Table that a bench returns. */
export interface BenchResult {
  readonly name: string
  readonly columns: readonly string[]
  readonly rows: readonly (readonly (string | number)[])[]
}
