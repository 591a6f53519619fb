/** Deterministic tokens: every engine generates the same ones for a prompt. */

import createHasher from 'xxhash-wasm'

const WORDS = [
  'oil', 'board', 'grain', 'edge', 'coat', 'wheel', 'fork', 'axle', 'bearing', 'load',
  'turn', 'wipe', 'rest', 'check', 'dry', 'sand', 'bolt', 'brake', 'tread', 'swivel'
] as const

const hasher = await createHasher()

/**
 * @param prompt - text of the prompt
 * @returns 8 hexadecimal digits
 */
export function hashPrompt (prompt: string): string {
  return hasher.h32ToString(prompt)
}

/**
 * @param prompt - text of the prompt
 * @param index - position of the token from 0
 * @returns the token's text, with a leading space except at index 0
 */
export function computeToken (prompt: string, index: number): string {
  const word = WORDS[hasher.h32(prompt, index) % WORDS.length] ?? ''
  return index === 0 ? word : ` ${word}`
}
