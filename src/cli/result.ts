/** Results of commands and their exit codes. */

/** Exit codes of the command line. */
export const EXIT = { done: 0, failed: 1, badInput: 2, versionConflict: 3, platformUnavailable: 4, unknownPath: 5, unknownCaller: 6, gatewayNotInformed: 7, gatewayNotReached: 8, wrongKey: 9 } as const

/** One of the exit codes. */
export type ExitCode = typeof EXIT[keyof typeof EXIT]

/** Result of a command. */
export interface CommandResult {
  readonly code: ExitCode
  /** For people; goes to the standard output when the code is 0, otherwise to the error output. */
  readonly text: string
  /** For `--json`; always goes to the standard output. */
  readonly json: unknown
}

/**
 * @param text - for people
 * @param json - for programs
 * @returns a result with exit code 0
 */
export function buildDone (text: string, json: unknown): CommandResult {
  return { code: EXIT.done, text, json }
}

/**
 * @param code - exit code, not 0
 * @param text - the error and how to resolve it
 * @param json - further fields for programs
 * @returns a failure
 */
export function buildFailure (code: Exclude<ExitCode, 0>, text: string, json: object = {}): CommandResult {
  return { code, text: text.endsWith('\n') ? text : `${text}\n`, json: { error: text.trimEnd(), ...json } }
}
