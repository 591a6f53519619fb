/** Checks of long lists of numbers; a schema library takes many times as long for them. */

/** Whether a value is a list of whole numbers of 0 or more. */
export function isCountList (value: unknown): value is readonly number[] {
  return Array.isArray(value) && value.every(item => Number.isSafeInteger(item) && (item as number) >= 0)
}

/** Whether a value is a list of such lists. */
export function isCountTable (value: unknown): value is readonly (readonly number[])[] {
  return Array.isArray(value) && value.every(isCountList)
}

/** Whether a value is a map: lists of experts by layer and rank. */
export function isGroupMap (value: unknown): value is readonly (readonly (readonly number[])[])[] {
  return Array.isArray(value) && value.every(isCountTable)
}
