/** Addresses that can be dialled. */

import { isIPv4 } from 'node:net'
import type { Address } from './model.js'

const PORT_MAX = 65_535

const ADDRESS = /^([\d.]{7,15}):(\d{1,5})$/

/** Whether sockets accept the address: an IPv4 number and a port. */
export function isAddress ({ host, port }: { readonly host?: unknown, readonly port?: unknown }): boolean {
  return typeof host === 'string' && isIPv4(host) && typeof port === 'number' && Number.isInteger(port) && port >= 1 && port <= PORT_MAX
}

/**
 * @param text - `IP:PORT`
 * @returns the address; undefined when the text is not an address that can be dialled
 */
export function parseAddress (text: unknown): Address | undefined {
  const match = typeof text === 'string' ? ADDRESS.exec(text) : null
  const address = match === null ? undefined : { host: match[1]!, port: Number(match[2]) }
  return address !== undefined && isAddress(address) ? address : undefined
}
