/** Reads the bodies of callers' requests within the bounds on one body and on their sum. */

import type { IncomingMessage } from 'node:http'
import { ERROR_RESPONSES } from '../../kernel/errors.js'
import type { ErrorKind } from '../../kernel/errors.js'
import type { HeldBytes } from './held-bytes.js'

/** Callback of the web framework for a body that was read. */
type Done = (error: Error | null, body?: Buffer) => void

/** Reader of bodies, which counts them from their first byte until they are released. */
export class BodyReader {
  readonly #bodyMaxBytes: number
  readonly #held: HeldBytes
  readonly #bytesByRequest = new WeakMap<IncomingMessage, number>()

  private constructor (bodyMaxBytes: number, held: HeldBytes) {
    this.#bodyMaxBytes = bodyMaxBytes
    this.#held = held
  }

  /**
   * @param bodyMaxBytes - largest body in bytes
   * @param held - counts the bytes of all bodies
   * @returns a reader
   */
  static create (bodyMaxBytes: number, held: HeldBytes): BodyReader {
    return new BodyReader(bodyMaxBytes, held)
  }

  /**
   * @param request - request whose head was read
   * @param done - receives the body, or an error with the status of `body-too-large` or `overloaded`
   */
  read (request: IncomingMessage, done: Done): void {
    if (Number(request.headers['content-length']) > this.#bodyMaxBytes) {
      done(createError('body-too-large'))
      return
    }
    const parts: Buffer[] = []
    let bytes = 0
    const finish = (error: Error | null): void => {
      request.removeListener('data', handleData).removeListener('end', handleEnd).removeListener('error', handleError)
      done(error, Buffer.concat(error === null ? parts : [], error === null ? bytes : 0))
    }
    const handleEnd = (): void => { finish(null) }
    const handleError = (): void => { finish(createError('bad-request')) }
    const handleData = (part: Buffer): void => {
      const error = this.#addPart(request, bytes, part.length)
      if (error !== undefined) {
        finish(createError(error))
        return
      }
      bytes += part.length
      parts.push(part)
    }
    request.on('data', handleData).on('end', handleEnd).on('error', handleError)
  }

  /** @param request - request whose response is closed */
  release (request: IncomingMessage): void {
    this.#held.removeBody(this.#bytesByRequest.get(request) ?? 0)
    this.#bytesByRequest.delete(request)
  }

  #addPart (request: IncomingMessage, bytesBefore: number, bytes: number): ErrorKind | undefined {
    if (bytesBefore + bytes > this.#bodyMaxBytes) return 'body-too-large'
    if (!this.#held.acceptBody(bytes)) return 'overloaded'
    this.#bytesByRequest.set(request, bytesBefore + bytes)
    return undefined
  }
}

function createError (kind: ErrorKind): Error {
  return Object.assign(new Error(ERROR_RESPONSES[kind].message), { statusCode: ERROR_RESPONSES[kind].status })
}
