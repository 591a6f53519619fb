/** Masks the parts of an output that differ between runs. */

const MASKS: readonly (readonly [RegExp, string])[] = [
  [/\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z/g, '<time>'],
  [/[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}/g, '<id>'],
  [/(127\.0\.0\.1):\d+/g, '$1:<port>'],
  [/\/\S*heatherdoor-[a-z]+-\w+\//g, '<folder>/'],
  [/"incarnation":\d+/g, '"incarnation":<time>'],
  [/\b\d+ ms/g, '<ms> ms'],
  [/"(elapsedMs|silentMs|deadlineMs|chunks)":\d+/g, '"$1":<count>']
]

/** @returns the text with times, ids, ports, folders, durations and counts masked */
export function maskVaryingParts (text: string): string {
  return MASKS.reduce((masked, [pattern, replacement]) => masked.replace(pattern, replacement), text)
}
