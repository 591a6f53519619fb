/** Estimates the work of a request from what its caller says. */

import type { CallerRequest } from './model.js'

/** @returns tokens of memory that the request takes at an endpoint at most; 0 when its caller does not say */
export function countTokens ({ promptTokens = 0, answerTokensMax = 0, answerTokensHint }: Pick<CallerRequest, 'promptTokens' | 'answerTokensMax' | 'answerTokensHint'>): number {
  return promptTokens + Math.min(answerTokensMax, answerTokensHint ?? answerTokensMax)
}
