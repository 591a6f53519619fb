/**
 * Key tokens: `hdk1.<service>.<home>.<incarnation>.<window>.<mac>`. An
 * idempotency key consists of a token, a dot and a part chosen by the caller.
 */

import { createHmac, timingSafeEqual } from 'node:crypto'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Home, TokensPort } from '../../kernel/ports.js'
import type { RequestKey } from '../../protocol/messages.js'

const TOKEN_VERSION = 'hdk1'
const MAC_BYTES = 16
/** Prefix of the MAC input, so that a token MAC never equals a MAC made with the cluster secret for another purpose. */
const MAC_CONTEXT = 'heatherdoor key token\n'
const NUMBER_PATTERN = /^(?:0|[1-9][0-9]{0,15})$/
const CALLER_PART_PATTERN = /^[A-Za-z0-9._~:-]{1,128}$/

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
   * @param home - the endpoint process that may run keys with the token
   * @returns the token
   */
  formatToken (service: string, home: Home): string {
    const payload = [TOKEN_VERSION, encodeId(service), encodeId(home.id), home.incarnation, home.window].join('.')
    return `${payload}.${this.#sign(payload).toString('base64url')}`
  }

  /**
   * @param service - service that the request is for
   * @param text - idempotency key as the caller sent it
   * @returns the key; undefined when malformed, forged or of another service
   */
  parseKey (service: string, text: string): RequestKey | undefined {
    const [version, tokenService, home, incarnation, window, mac, ...callerPart] = text.split('.')
    if (version !== TOKEN_VERSION || tokenService !== encodeId(service)) return undefined
    if (home === undefined || incarnation === undefined || window === undefined || mac === undefined) return undefined
    if (!NUMBER_PATTERN.test(incarnation) || !NUMBER_PATTERN.test(window)) return undefined
    if (!CALLER_PART_PATTERN.test(callerPart.join('.'))) return undefined
    if (!this.#verify([version, tokenService, home, incarnation, window].join('.'), mac)) return undefined
    return { home: decodeURIComponent(home), incarnation: Number(incarnation), window: Number(window), text }
  }

  #sign (payload: string): Buffer {
    return createHmac('sha256', this.#secret).update(MAC_CONTEXT).update(payload).digest().subarray(0, MAC_BYTES)
  }

  #verify (payload: string, mac: string): boolean {
    const givenMac = Buffer.from(mac, 'base64url')
    // Several base64url texts decode to the same bytes, so the text is compared as well.
    return givenMac.length === MAC_BYTES && givenMac.toString('base64url') === mac && timingSafeEqual(givenMac, this.#sign(payload))
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
