/** Messages with which gateways share evidence of crashes. */

import type { Accusation, CrashEvidence } from '../plugins/gateway/part-crashes.js'

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

/** Largest evidence of one datagram in bytes. */
export const EVIDENCE_BYTES_MAX = 16 * 1024

/** Bytes that a crash, one of its entries and a text take when they are packed, beside the characters of the texts. */
const CRASH_BYTES = 80
const ENTRY_BYTES = 56
const TEXT_BYTES = 5

/** Evidence of one crash that is being put together. */
interface EvidencePiece extends Pick<CrashEvidence, 'crash' | 'service' | 'ageMs'> {
  readonly accused: Accusation[]
  readonly harmless: Array<CrashEvidence['harmless'][number]>
  readonly cleared: string[]
}

/**
 * Splits evidence into lists that fit into one datagram each. What is known of a crash may be spread over several
 * lists, as merging it does not depend on their order.
 *
 * @param evidence - evidence of any size
 * @returns at least one list; each takes at most `EVIDENCE_BYTES_MAX` unless a single entry takes more
 */
export function splitEvidence (evidence: readonly CrashEvidence[]): ReadonlyArray<readonly CrashEvidence[]> {
  const lists: EvidencePiece[][] = [[]]
  let bytes = 0
  for (const { crash, service, ageMs, accused, harmless, cleared } of evidence) {
    let piece: EvidencePiece | undefined
    const pickPiece = (entryBytes: number): EvidencePiece => {
      const headBytes = CRASH_BYTES + countTextBytes([crash, service])
      if (bytes > 0 && bytes + entryBytes + (piece === undefined ? headBytes : 0) > EVIDENCE_BYTES_MAX) {
        lists.push([])
        bytes = 0
        piece = undefined
      }
      if (piece === undefined) {
        piece = { crash, service, ageMs, accused: [], harmless: [], cleared: [] }
        lists.at(-1)!.push(piece)
        bytes += headBytes
      }
      bytes += entryBytes
      return piece
    }
    if (accused.length + harmless.length + cleared.length === 0) pickPiece(0)
    for (const entry of accused) pickPiece(ENTRY_BYTES + countTextBytes([entry.part, ...entry.teams])).accused.push(entry)
    for (const entry of harmless) pickPiece(ENTRY_BYTES + countTextBytes([entry.part, ...entry.teams])).harmless.push(entry)
    for (const part of cleared) pickPiece(countTextBytes([part])).cleared.push(part)
  }
  return lists
}

function countTextBytes (texts: readonly string[]): number {
  return texts.reduce((sum, text) => sum + TEXT_BYTES + Buffer.byteLength(text), 0)
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
