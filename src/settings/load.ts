/** Reads TOML files and validates them against a schema. */

import { readFileSync } from 'node:fs'
import { distance } from 'fastest-levenshtein'
import { Either, Left, Right } from 'purify-ts'
import { parse, TomlError } from 'smol-toml'
import { z } from 'zod'
import { describeTomlValue } from './faults.js'
import type { SettingsFault } from './faults.js'
import { buildLineIndex, findLine } from './lines.js'

/** Keys and indexes from the root of a document to a value. */
export type KeyPath = readonly (string | number)[]

/** A parsed file, not yet validated. */
export interface TomlDocument {
  readonly file: string
  readonly root: Readonly<Record<string, unknown>>
  /** Line number from 1 by key path. */
  readonly lines: ReadonlyMap<string, number>
}

/** Result of the validation of a document. */
export interface ValidationResult<T> {
  readonly faults: readonly SettingsFault[]
  /** Undefined when there are faults. */
  readonly value: T | undefined
}

/**
 * @param file - path of a TOML file
 * @returns the document, or one fault when it cannot be read or parsed
 */
export function readTomlDocument (file: string): Either<readonly SettingsFault[], TomlDocument> {
  return Either.encase(() => readFileSync(file, 'utf8'))
    .mapLeft((error): readonly SettingsFault[] => [{ file, keyPath: '', found: `no readable file (${describeReadError(error)})`, expected: 'a TOML file' }])
    .chain(text => parseTomlDocument(file, text))
}

/**
 * @param file - file name for reports
 * @param text - TOML text
 * @returns the document, or one fault when the text is not valid TOML
 */
export function parseTomlDocument (file: string, text: string): Either<readonly SettingsFault[], TomlDocument> {
  try {
    return Right({ file, root: parse(text), lines: buildLineIndex(text) })
  } catch (error) {
    if (!(error instanceof TomlError)) throw error
    const found = (error.message.split('\n')[0] ?? '').replace('Invalid TOML document: ', '')
    return Left([{ file, keyPath: '', line: error.line, found: `invalid TOML (${found})`, expected: 'TOML 1.0 text' }])
  }
}

/**
 * Validates a document against a schema.
 *
 * @param document - parsed file
 * @param schema - schema built from those in `fields.ts`
 * @returns every fault, and the value when there is none
 */
export function checkDocument<T extends z.ZodType> (document: TomlDocument, schema: T): ValidationResult<z.output<T>> {
  const result = schema.safeParse(document.root)
  if (result.success) return { faults: [], value: result.data }
  const faults = result.error.issues.flatMap(issue => buildIssueFaults(document, schema, issue))
  return { faults: [...new Map(faults.map(fault => [fault.keyPath, fault])).values()], value: undefined }
}

/**
 * @param document - parsed file
 * @param path - path of the faulty value
 * @param expected - description of the expected value
 * @param nearest - most similar known name
 * @returns the fault, with line number and found value
 */
export function buildFault (document: TomlDocument, path: KeyPath, expected: string, nearest?: string): SettingsFault {
  const keyPath = formatKeyPath(path)
  const line = findLine(document.lines, keyPath)
  return {
    file: document.file,
    keyPath,
    ...(line === undefined ? {} : { line }),
    found: describeTomlValue(findValue(document.root, path), keyPath),
    expected,
    ...(nearest === undefined ? {} : { nearest })
  }
}

/**
 * @param name - unknown name
 * @param known - known names
 * @returns the known name with the smallest edit distance; undefined when none is similar enough
 */
export function findNearestName (name: string, known: readonly string[]): string | undefined {
  const [best] = known.map(text => ({ text, edits: distance(name, text) })).sort((a, b) => a.edits - b.edits)
  return best !== undefined && best.edits <= Math.floor((name.length + 1) / 3) ? best.text : undefined
}

function buildIssueFaults (document: TomlDocument, schema: z.ZodType, issue: z.core.$ZodIssue): readonly SettingsFault[] {
  const path = issue.path.filter(step => typeof step !== 'symbol')
  if (issue.code !== 'unrecognized_keys') return [buildFault(document, path, issue.message)]
  const known = listKnownKeys(schema, path)
  return issue.keys.map(key => buildFault(document, [...path, key], 'no key of this name', findNearestName(key, known)))
}

function listKnownKeys (schema: z.core.$ZodType, path: KeyPath): readonly string[] {
  let current: z.core.$ZodType = schema
  for (const step of path) {
    const inner = unwrapSchema(current)
    if (inner instanceof z.ZodArray) current = inner.element as z.core.$ZodType
    else if (inner instanceof z.ZodObject) current = (inner.shape as Readonly<Record<string, z.core.$ZodType>>)[step] ?? inner
  }
  const table = unwrapSchema(current)
  return table instanceof z.ZodObject ? Object.keys(table.shape as object) : []
}

function unwrapSchema (schema: z.core.$ZodType): z.core.$ZodType {
  let current = schema
  while ('innerType' in current._zod.def) current = current._zod.def.innerType as z.core.$ZodType
  return current
}

function findValue (root: unknown, path: KeyPath): unknown {
  let value = root
  for (const step of path) {
    if (typeof value !== 'object' || value === null) return undefined
    value = (value as Readonly<Record<string, unknown>>)[step]
  }
  return value
}

function formatKeyPath (path: KeyPath): string {
  return path.reduce<string>((text, step) =>
    typeof step === 'number' ? `${text}[${step}]` : text === '' ? step : `${text}.${step}`, '')
}

function describeReadError (error: Error): string {
  return 'code' in error ? String(error.code) : error.message
}
