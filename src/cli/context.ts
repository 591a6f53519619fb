/** What commands are run with: settings, the platform, the entries and the clock. */

import type { AuditLimits } from './audit.js'
import type { ObjectStore } from './store.js'
import { RetryingStore } from './store.js'
import type { CliSettings } from '../settings/index.js'

/** Result of a request to an entry's operations listener. */
export type OperationsResult =
  | { readonly kind: 'answered', readonly status: number, readonly body: unknown }
  | { readonly kind: 'unreachable', readonly reason: string }

/** Access to the platform, the entries, the clock and randomness; tests replace it. */
export interface CommandEnvironment {
  /**
   * @param settings - how the platform is reached
   * @returns the platform
   */
  openStore (settings: CliSettings): ObjectStore
  /**
   * @param settings - credential and TLS
   * @param url - URL with path
   * @returns the response, or why there is none
   */
  readOperations (settings: CliSettings, url: string): Promise<OperationsResult>
  /**
   * @param url - URL with path and query
   * @param headers - headers with the key
   * @returns the response with its body whatever its status is, or why there is none
   */
  readGateway (url: string, headers: Readonly<Record<string, string>>): Promise<OperationsResult>
  /** @returns wall-clock time, ISO 8601 */
  getTime (): string
  /**
   * @param length - number of hexadecimal digits
   * @returns random text
   */
  createRandomHex (length: number): string
  wait (ms: number): Promise<void>
  /** Sets the text of the progress line. */
  reportProgress (text: string): void
  readonly auditLimits?: AuditLimits
}

/** What a command is run with. */
export interface CommandContext {
  readonly environment: CommandEnvironment
  readonly settings: CliSettings
  readonly store: RetryingStore
}

/**
 * @param environment - platform, entries and clock
 * @param settings - checked settings
 * @returns the context of a command
 */
export function buildContext (environment: CommandEnvironment, settings: CliSettings): CommandContext {
  const store = RetryingStore.create(environment.openStore(settings), ms => environment.wait(ms))
  return { environment, settings, store }
}
