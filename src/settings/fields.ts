/** Schemas of fields. The error text of each schema states what is expected. */

import { z } from 'zod'

/** Maximum duration in a setting: one day, in ms. */
const DURATION_MAX_MS = 86_400_000

/**
 * @param min - smallest accepted value
 * @param max - largest accepted value
 * @returns schema of an integer
 */
export function buildInteger (min: number, max: number) {
  const error = `an integer from ${min} to ${max}`
  return z.number({ error }).int({ error }).min(min, { error }).max(max, { error })
}

/**
 * @param minMs - smallest accepted value in ms
 * @returns schema of a duration in ms
 */
export function buildDuration (minMs: number) {
  return buildInteger(minMs, DURATION_MAX_MS)
}

/**
 * @param min - smallest accepted value, exclusive
 * @param max - largest accepted value
 * @returns schema of a number
 */
export function buildNumber (min: number, max: number) {
  const error = `a number above ${min}, at most ${max}`
  return z.number({ error }).gt(min, { error }).max(max, { error })
}

/**
 * @param pattern - pattern that matches the whole text
 * @param error - description of the expected text
 * @returns schema of a text
 */
export function buildText (pattern: RegExp, error: string) {
  return z.string({ error }).regex(pattern, { error })
}

/**
 * @param choices - accepted texts
 * @returns schema of a text that is one of the choices
 */
export function buildChoice<const T extends readonly [string, ...string[]]> (choices: T) {
  return z.enum(choices, { error: `one of ${choices.join(', ')}` })
}

/**
 * @param element - schema of one element
 * @param contents - description of the elements, in the plural
 * @returns schema of a list
 */
export function buildList<T extends z.ZodType> (element: T, contents: string) {
  return z.array(element, { error: `a list of ${contents}` })
}

/**
 * @param shape - schema by key
 * @returns schema of a table that allows no other keys
 */
export function buildTable<T extends z.ZodRawShape> (shape: T) {
  return z.strictObject(shape, { error: issue => issue.code === 'invalid_type' ? 'a table' : undefined })
}

const IP_ERROR = 'an IPv4 or IPv6 address'

/** Name of a failure domain, team, service and so on; used in platform keys and metric labels. */
export const NAME = buildText(/^[a-z0-9][a-z0-9-]{0,62}$/, 'a name of 1 to 63 lower-case letters, digits and hyphens')

/** Name of a host. */
export const HOST = buildText(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'a host name of 1 to 63 lower-case letters, digits, dots and hyphens')

/** Printable text, such as the name of a model. */
export const PRINTABLE_TEXT = buildText(/^[\x21-\x7e][\x20-\x7e]{0,127}$/, 'text of 1 to 128 printable ASCII characters')

/** Path of a file, absolute or relative to the settings file. */
export const FILE_PATH = buildText(/^[^\0]+$/, 'the path of a file')

/** IP address without a port. */
export const IP = z.union([z.ipv4(), z.ipv6()], { error: IP_ERROR })

/** TCP port. */
export const PORT = buildInteger(1, 65_535)

/** IP address and port; an IPv6 address is in brackets. */
export const IP_PORT = buildText(
  /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):([1-9]\d{0,4})$/,
  'an IP address and a port, such as 10.0.0.1:7000'
)

/** Base URL without a path. */
export const BASE_URL = buildText(
  /^https?:\/\/[A-Za-z0-9.[\]:-]+$/,
  'an http or https URL without a path or a final slash, such as http://10.0.0.1:8080'
)

/** True or false. */
export const BOOLEAN = z.boolean({ error: 'true or false' })

/** TLS files of outbound connections; certificate and key are for servers that request a client certificate. */
export const TLS_FILES = buildTable({
  cert_file: FILE_PATH.exactOptional(),
  key_file: FILE_PATH.exactOptional(),
  ca_file: FILE_PATH.exactOptional()
}).refine(files => (files.cert_file === undefined) === (files.key_file === undefined), { error: 'both cert_file and key_file, or neither' })

/** TLS files of a listener; certificate and key are required. */
export const LISTENER_TLS_FILES = buildTable({ cert_file: FILE_PATH, key_file: FILE_PATH, ca_file: FILE_PATH.exactOptional() })
