/** Log of a process in JSON Lines format. */

import './enable.js'
import { ROARR, Roarr } from 'roarr'
import type { Message } from 'roarr'
import { LOG_EVENTS } from '../../kernel/log-events.js'
import type { LogEvent } from '../../kernel/log-events.js'

/** Fields of one line: ids, counts and kinds; never bodies, keys or credentials. */
export type LogFields = Readonly<Record<string, string | number | boolean>>

/** What a logger is created with. */
export interface LoggerOptions {
  readonly processId: string
  /** Writes one line, given without its line feed; standard output when absent. */
  readonly write?: (line: string) => void
}

/** Maximum length of a field in characters; longer text is truncated. */
const TEXT_CHARS_MAX = 256
const REDACTED = '[hidden]'

/** Names of fields whose values must never be logged. */
const REDACTED_FIELDS: ReadonlySet<string> = new Set([
  'body', 'key', 'keyText', 'headers', 'authorization', 'credential', 'secret', 'token', 'prompt', 'data', 'chunk'
])

const LISTED_EVENTS: ReadonlySet<string> = new Set(LOG_EVENTS)

/** Writes one JSON object per line: `time`, `process`, `event`, then the fields. */
export class Logger {
  readonly #processId: string
  readonly #write: (line: string) => void

  private constructor (options: LoggerOptions) {
    this.#processId = options.processId
    this.#write = options.write ?? (line => { process.stdout.write(`${line}\n`) })
  }

  /**
   * @param options - process id and output
   * @returns a logger
   */
  static create (options: LoggerOptions): Logger {
    return new Logger(options)
  }

  /**
   * Writes one line. An event outside the closed list is written as
   * `internal-error` with its name in the field `unlisted`.
   *
   * @param event - name from `LOG_EVENTS`
   * @param fields - values of the line
   */
  write (event: LogEvent, fields: LogFields = {}): void {
    const isListed = LISTED_EVENTS.has(event)
    // The library has one global writer; setting it for each line keeps several
    // processes' loggers apart when tests run them in one process.
    ROARR.serializeMessage = formatLine
    ROARR.write = this.#write
    Roarr({ process: this.#processId, fields: { ...buildFields(fields), ...(isListed ? {} : { unlisted: event }) } },
      isListed ? event : 'internal-error')
  }
}

function formatLine (message: Message): string {
  const { process, fields } = message.context as { readonly process: string, readonly fields: LogFields }
  return JSON.stringify({ time: new Date(message.time).toISOString(), process, event: message.message, ...fields })
}

function buildFields (fields: LogFields): LogFields {
  return Object.fromEntries(Object.entries(fields).map(([name, value]) => {
    if (REDACTED_FIELDS.has(name)) return [name, REDACTED]
    // Fields cannot replace the properties that every line has.
    const fieldName = name === 'time' || name === 'process' || name === 'event' ? `${name}_` : name
    return [fieldName, typeof value === 'string' ? value.slice(0, TEXT_CHARS_MAX) : value]
  }))
}
