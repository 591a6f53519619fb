/** Remembers the rates that endpoints name in their answers, and the limits that other gateways were told. */

import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'

/** Time in ms after the last answer with or without a limit for which the statement holds; an endpoint that gets few requests answers rarely. */
export const STATEMENT_TTL_MS = 10_000

/** Largest number of endpoints whose statements are kept, and that are listed for other gateways. */
const STATEMENTS_MAX = 2_000
const LISTED_MAX = 128

/** What an answer says about the rate that its endpoint takes. */
export type LimitStatement =
  | { readonly kind: 'none' }
  /** Requests per second that the endpoint takes from all gateways together. */
  | { readonly kind: 'rate', readonly perS: number }
  | { readonly kind: 'unreadable', readonly text: string }

/** A statement as sent to other gateways and to agents. */
export interface SharedStatement {
  /** Requests per second; null when the endpoint no longer names a limit. */
  readonly perS: number | null
  /** Time in ms since the answer with the statement. */
  readonly ageMs: number
}

/** Statements by endpoint. */
export type SharedStatements = Readonly<Record<string, SharedStatement>>

/** How an answer changed what is known. */
export type LimitChange = 'named' | 'changed' | 'ended' | 'unreadable' | 'none'

/** Rates that endpoints name. */
export interface NamedLimitsPort {
  /**
   * Records what an answer says.
   *
   * @param sentAtMs - when its request was sent: an answer without a limit ends one only when it was known by then
   */
  noteAnswer (endpoint: string, statement: LimitStatement, sentAtMs: number, nowMs: number): LimitChange
  /** Adopts a statement of another gateway when it is newer. @returns whether the limit in force has changed */
  merge (endpoint: string, statement: SharedStatement, nowMs: number): boolean
  /** @returns requests per second; undefined when no limit is in force */
  find (endpoint: string, nowMs: number): number | undefined
  /** @returns the latest statement, also when it ended a limit */
  describe (endpoint: string, nowMs: number): SharedStatement | undefined
  /**
   * Lists statements for other gateways.
   *
   * @param scope - those that endpoints made to this gateway, or also those that others passed on
   */
  list (scope: 'own' | 'all', nowMs: number): SharedStatements
  /** Forgets an endpoint that is gone or was restarted. */
  forget (endpoint: string): void
}

interface Statement {
  readonly perS: number | null
  readonly atMs: number
  /** When the limit in force was first known. */
  readonly sinceMs: number
  readonly isOwn: boolean
}

/** @returns whether an unpacked value is a table of statements */
export function isSharedStatements (value: unknown): value is SharedStatements {
  return typeof value === 'object' && value !== null && Object.values(value).every(isSharedStatement)
}

/** @returns whether an unpacked value is a statement */
export function isSharedStatement (value: unknown): value is SharedStatement {
  if (typeof value !== 'object' || value === null) return false
  const { perS, ageMs } = value as Readonly<Record<string, unknown>>
  const isPositive = typeof perS === 'number' && Number.isFinite(perS) && perS > 0
  return typeof ageMs === 'number' && Number.isFinite(ageMs) && ageMs >= 0 && (perS === null || isPositive)
}

/** Latest statement by endpoint. */
export class NamedLimitsPlugin implements Plugin, NamedLimitsPort {
  readonly name = 'named-limits'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'namedLimits'> = { namedLimits: this }
  readonly #statements = new Map<string, Statement>()
  readonly #unreadableAtMs = new Map<string, number>()

  private constructor () {}

  /** @returns a table without limits */
  static create (): NamedLimitsPlugin {
    return new NamedLimitsPlugin()
  }

  handle (): void {}

  noteAnswer (endpoint: string, statement: LimitStatement, sentAtMs: number, nowMs: number): LimitChange {
    // An unreadable limit says neither how much the endpoint takes nor that it takes everything.
    if (statement.kind === 'unreadable') return this.#noteUnreadable(endpoint, nowMs)
    const known = this.#find(endpoint, nowMs)
    if (statement.kind === 'rate') {
      this.#set(endpoint, { perS: statement.perS, atMs: nowMs, sinceMs: known?.perS == null ? nowMs : known.sinceMs, isOwn: true })
      return known?.perS == null ? 'named' : known.perS === statement.perS ? 'none' : 'changed'
    }
    if (known?.perS == null || sentAtMs <= known.sinceMs) return 'none'
    this.#set(endpoint, { perS: null, atMs: nowMs, sinceMs: nowMs, isOwn: true })
    return 'ended'
  }

  merge (endpoint: string, { perS, ageMs }: SharedStatement, nowMs: number): boolean {
    const known = this.#find(endpoint, nowMs)
    const atMs = nowMs - Math.max(0, ageMs)
    if (nowMs - atMs > STATEMENT_TTL_MS || (known !== undefined && known.atMs >= atMs)) return false
    this.#set(endpoint, { perS, atMs, sinceMs: perS !== null && known?.perS != null ? known.sinceMs : nowMs, isOwn: false })
    return perS !== (known?.perS ?? null)
  }

  find (endpoint: string, nowMs: number): number | undefined {
    return this.#find(endpoint, nowMs)?.perS ?? undefined
  }

  describe (endpoint: string, nowMs: number): SharedStatement | undefined {
    const known = this.#find(endpoint, nowMs)
    return known === undefined ? undefined : { perS: known.perS, ageMs: nowMs - known.atMs }
  }

  list (scope: 'own' | 'all', nowMs: number): SharedStatements {
    const listed = [...this.#statements].filter(([, { isOwn, atMs }]) => (isOwn || scope === 'all') && nowMs - atMs <= STATEMENT_TTL_MS).slice(-LISTED_MAX)
    return Object.fromEntries(listed.map(([endpoint, { perS, atMs }]) => [endpoint, { perS, ageMs: nowMs - atMs }]))
  }

  forget (endpoint: string): void {
    this.#statements.delete(endpoint)
  }

  /** Tells of an unreadable limit once in a while, as every answer may have it. */
  #noteUnreadable (endpoint: string, nowMs: number): LimitChange {
    if (nowMs - (this.#unreadableAtMs.get(endpoint) ?? -Infinity) < STATEMENT_TTL_MS) return 'none'
    if (this.#unreadableAtMs.size >= STATEMENTS_MAX) this.#unreadableAtMs.clear()
    this.#unreadableAtMs.set(endpoint, nowMs)
    return 'unreadable'
  }

  #find (endpoint: string, nowMs: number): Statement | undefined {
    const known = this.#statements.get(endpoint)
    if (known === undefined || nowMs - known.atMs <= STATEMENT_TTL_MS) return known
    this.#statements.delete(endpoint)
    return undefined
  }

  #set (endpoint: string, statement: Statement): void {
    this.#statements.delete(endpoint)
    this.#statements.set(endpoint, statement)
    const oldest = this.#statements.keys().next().value
    if (this.#statements.size > STATEMENTS_MAX && oldest !== undefined) this.#statements.delete(oldest)
  }
}

registerPlugin({ name: 'named-limits', roles: ['gateway'], create: () => NamedLimitsPlugin.create() })
