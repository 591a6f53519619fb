/** Checks of the options that cac parsed. cac turns a value of digits into a number. */

/** Options as cac parsed them. */
export type Options = Readonly<Record<string, unknown>>

/** An argument is missing or malformed. */
export class ArgumentError extends Error {}

/**
 * @param options - parsed options
 * @param name - option name
 * @returns its text
 * @throws ArgumentError when it is missing or empty
 */
export function getText (options: Options, name: string): string {
  const value = options[name]
  if (typeof value !== 'string' && typeof value !== 'number') throw new ArgumentError(`--${formatName(name)} is needed once, with a value`)
  const text = String(value).trim()
  if (text === '') throw new ArgumentError(`--${formatName(name)} must not be empty`)
  return text
}

/**
 * @param options - parsed options
 * @param name - option name
 * @param min - smallest value
 * @returns the integer; undefined when the option is absent
 * @throws ArgumentError when it is not an integer or below the minimum
 */
export function findInteger (options: Options, name: string, min: number): number | undefined {
  const value = options[name]
  if (value === undefined) return undefined
  if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < min) {
    throw new ArgumentError(`--${formatName(name)} must be an integer of at least ${min}, not ${JSON.stringify(value)}`)
  }
  return value
}

/**
 * @param options - parsed options
 * @param name - option name
 * @param min - smallest value
 * @returns the integer
 * @throws ArgumentError when it is missing, not an integer or below the minimum
 */
export function getInteger (options: Options, name: string, min: number): number {
  const value = findInteger(options, name, min)
  if (value === undefined) throw new ArgumentError(`--${formatName(name)} is needed`)
  return value
}

/**
 * @param options - parsed options
 * @param name - option name
 * @returns whether the flag is set
 */
export function isFlagSet (options: Options, name: string): boolean {
  return options[name] === true
}

/** cac names options in camel case. */
function formatName (name: string): string {
  return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
}
