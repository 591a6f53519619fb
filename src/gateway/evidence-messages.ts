/** Messages with which gateways share evidence of crashes. */

import type { CrashEvidence } from '../plugins/gateway/part-crashes.js'

/** Asks a gateway for all its evidence. */
export interface EvidenceRequest {
  readonly version: number
  readonly kind: 'evidence-request'
}

/** Evidence of crashes. */
export interface EvidenceMessage {
  readonly version: number
  readonly kind: 'evidence'
  readonly purpose:
    /** Sent to all gateways at once. */
    | 'news'
    /** Sent back to a gateway whose news it adds to, which passes it on to all. */
    | 'addition'
    /** Answer to an `EvidenceRequest`. */
    | 'table'
  readonly evidence: readonly CrashEvidence[]
}

/** @returns whether an unpacked message has the form of an `EvidenceMessage` */
export function isEvidenceMessage (message: object): message is EvidenceMessage {
  const { kind, purpose, evidence } = message as Partial<EvidenceMessage>
  return kind === 'evidence' && (purpose === 'news' || purpose === 'addition' || purpose === 'table') && isEvidence(evidence)
}

/** @returns whether an unpacked value is a list of evidence */
export function isEvidence (value: unknown): value is readonly CrashEvidence[] {
  return isListOf(value, item => typeof item['crash'] === 'string' && typeof item['service'] === 'string' && Number.isFinite(item['ageMs']) &&
    isListOf(item['accused'], ({ part, teams, depth, ageMs }) => typeof part === 'string' && isTextList(teams) && Number.isFinite(depth) && Number.isFinite(ageMs)) &&
    isListOf(item['harmless'], ({ part, teams }) => typeof part === 'string' && isTextList(teams)) &&
    isTextList(item['cleared']))
}

function isListOf (value: unknown, isItem: (item: Readonly<Record<string, unknown>>) => boolean): boolean {
  return Array.isArray(value) && value.every(item => typeof item === 'object' && item !== null && isItem(item as Readonly<Record<string, unknown>>))
}

function isTextList (value: unknown): boolean {
  return Array.isArray(value) && value.every(item => typeof item === 'string')
}
