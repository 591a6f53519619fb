/** Checks of the form of unpacked values. They are written by hand, as loading a schema library takes a large part of a start. */

/** Whether a value has a form. */
export type Check = (value: unknown) => boolean

export const isText: Check = value => typeof value === 'string'
export const isFlag: Check = value => typeof value === 'boolean'
export const isInteger: Check = value => Number.isSafeInteger(value)
export const isCount: Check = value => Number.isSafeInteger(value) && (value as number) >= 0

/** @returns a check for numbers of a range, both ends included */
export function isBetween (min: number, max: number): Check {
  return value => typeof value === 'number' && value >= min && value <= max
}

/** @returns a check that passes when the value is absent */
export function isAbsentOr (check: Check): Check {
  return value => value === undefined || check(value)
}

/** @returns a check for lists */
export function isListOf (check: Check): Check {
  return value => Array.isArray(value) && value.every(check)
}

/** @returns a check for objects whose values all have a form */
export function isTableOf (check: Check): Check {
  return value => isObject(value) && Object.values(value).every(check)
}

/** @returns a check for objects with these fields; others are ignored */
export function isRecordOf (fields: Readonly<Record<string, Check>>): Check {
  const entries = Object.entries(fields)
  return value => isObject(value) && entries.every(([name, check]) => check(value[name]))
}

/** @returns a check for objects whose `kind` selects the check of the whole object */
export function isOneOf (kinds: Readonly<Record<string, Check>>): Check {
  const checks = new Map(Object.entries(kinds))
  return value => isObject(value) && typeof value['kind'] === 'string' && checks.get(value['kind'])?.(value) === true
}

function isObject (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
