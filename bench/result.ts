/** Table that a bench gives; the caller prints it. */
export interface BenchResult {
  readonly name: string
  readonly columns: readonly string[]
  readonly rows: readonly (readonly (string | number)[])[]
}
