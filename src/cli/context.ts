/** What commands use from outside. */

import type { AuditLimits } from './audit.js'
import type { ObjectStore } from './store.js'
import { RetryingStore } from './store.js'
import type { CliSettings } from '../settings/index.js'

/** An answer of an entry's operations listener. */
export type OperationsResult =
  | { readonly kind: 'answered', readonly status: number, readonly body: unknown }
  | { readonly kind: 'unreachable', readonly reason: string }

/** Ways out of the command line; tests replace them. */
export interface CommandEnvironment {
  /**
   * @param settings - how the platform is reached
   * @returns the platform
   */
  openStore (settings: CliSettings): ObjectStore
  /**
   * @param settings - credential and TLS
   * @param url - URL with path
   * @returns the answer
   */
  readOperations (settings: CliSettings, url: string): Promise<OperationsResult>
  /** @returns wall-clock time, ISO 8601 */
  getTime (): string
  /**
   * @param length - count of hexadecimal digits
   * @returns random text
   */
  createRandomHex (length: number): string
  wait (ms: number): Promise<void>
  /** Told what a command is doing, for the progress line. */
  reportProgress (text: string): void
  readonly auditLimits?: AuditLimits
}

/** What a command runs with. */
export interface CommandContext {
  readonly environment: CommandEnvironment
  readonly settings: CliSettings
  readonly store: RetryingStore
}

/**
 * @param environment - ways out
 * @param settings - checked settings
 * @returns what commands run with
 */
export function buildContext (environment: CommandEnvironment, settings: CliSettings): CommandContext {
  const store = RetryingStore.create(environment.openStore(settings), ms => environment.wait(ms))
  return { environment, settings, store }
}
