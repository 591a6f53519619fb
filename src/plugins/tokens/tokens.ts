/**
 * Key tokens: `hdk1.<service>.<home>.<incarnation>.<window>.<mac>`. A caller's
 * idempotency key is a token, a dot and the caller's own part.
 */

import { createHmac, timingSafeEqual } from 'node:crypto'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Home, TokensPort } from '../../kernel/ports.js'
import type { RequestKey } from '../../protocol/messages.js'

const VERSION = 'hdk1'
const MAC_BYTES = 16
/** Separates token proofs from other uses of the cluster secret. */
const MAC_CONTEXT = 'heatherdoor key token\n'
const NUMBER_PATTERN = /^(?:0|[1-9][0-9]{0,15})$/
const OWN_PART_PATTERN = /^[A-Za-z0-9._~:-]{1,128}$/

/** Issues and verifies key tokens with the cluster secret. */
export class Tokens implements TokensPort {
  readonly #secret: string

  private constructor (secret: string) {
    this.#secret = secret
  }

  /**
   * @param secret - the cluster secret
   * @returns an issuer whose tokens every process with the secret accepts
   */
  static create (secret: string): Tokens {
    return new Tokens(secret)
  }

  /**
   * @param service - service name
   * @param home - the home that may run keys of the token
   * @returns the token's text
   */
  formatToken (service: string, home: Home): string {
    const signed = [VERSION, encodeId(service), encodeId(home.id), home.incarnation, home.window].join('.')
    return `${signed}.${this.#sign(signed).toString('base64url')}`
  }

  /**
   * @param service - service that the request is for
   * @param text - idempotency key as the caller sent it
   * @returns the key; undefined when malformed, forged or of another service
   */
  parseKey (service: string, text: string): RequestKey | undefined {
    const [version, tokenService, home, incarnation, window, mac, ...own] = text.split('.')
    if (version !== VERSION || tokenService !== encodeId(service)) return undefined
    if (home === undefined || incarnation === undefined || window === undefined || mac === undefined) return undefined
    if (!NUMBER_PATTERN.test(incarnation) || !NUMBER_PATTERN.test(window)) return undefined
    if (!OWN_PART_PATTERN.test(own.join('.'))) return undefined
    if (!this.#verify([version, tokenService, home, incarnation, window].join('.'), mac)) return undefined
    return { home: decodeURIComponent(home), incarnation: Number(incarnation), window: Number(window), text }
  }

  #sign (signed: string): Buffer {
    return createHmac('sha256', this.#secret).update(MAC_CONTEXT).update(signed).digest().subarray(0, MAC_BYTES)
  }

  #verify (signed: string, mac: string): boolean {
    const given = Buffer.from(mac, 'base64url')
    // The text is compared too, since several base64 texts decode to the same bytes.
    return given.length === MAC_BYTES && given.toString('base64url') === mac && timingSafeEqual(given, this.#sign(signed))
  }
}

function encodeId (id: string): string {
  return encodeURIComponent(id).replaceAll('.', '%2E')
}

registerPlugin({
  name: 'tokens',
  roles: ['entry', 'endpoint'],
  create: options => ({
    name: 'tokens',
    subscribesTo: [],
    ports: { tokens: Tokens.create(options.settings.clusterSecret) },
    handle: () => {}
  })
})
