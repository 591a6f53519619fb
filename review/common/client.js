/** Stand-in for a client: sends requests on a connection that it keeps open. */

import { connect } from 'node:net'
import { record } from './record.js'

export class Client {
  #socket
  #received = Buffer.alloc(0)
  #pending
  #closedBy
  isClosed = false

  constructor (name, { host, port }) {
    Object.assign(this, { name, host, port })
  }

  async connect () {
    await new Promise((resolve, reject) => {
      this.#socket = connect({ host: this.host, port: this.port, noDelay: true })
      this.#socket.once('connect', resolve)
      this.#socket.once('error', reject)
    })
    this.#socket.on('data', bytes => {
      this.#received = Buffer.concat([this.#received, bytes])
      this.#check(false)
    })
    this.#socket.on('error', error => { this.#closedBy = error.code })
    this.#socket.on('close', () => {
      this.isClosed = true
      this.#check(true)
    })
    return this
  }

  /**
   * Sends a request.
   *
   * @returns `status` and `body`, or `status` 0 when the connection ended without a complete answer
   */
  async send ({ id, method = 'POST', path, host, headers = {}, body = '', deadlineMs, onChunk }) {
    const head = { Host: host, 'Heatherdoor-Request-Id': id, 'Heatherdoor-Deadline-Ms': deadlineMs, ...headers, 'Content-Length': Buffer.byteLength(body) }
    record(this.name, `sends ${id}: ${method} ${path}${body === '' ? '' : ` (${body})`}`)
    const answer = new Promise(resolve => { this.#pending = { id, resolve, onChunk, seen: 0 } })
    this.#socket.write(`${method} ${path} HTTP/1.1\r\n${Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`)
    return await answer
  }

  /** Stops or goes on reading. */
  pause () { this.#socket.pause() }
  resume () { this.#socket.resume() }

  get bytesRead () { return this.#socket.bytesRead }

  /** Leaves without waiting for the answer. */
  leave () {
    record(this.name, `closes its connection, ${this.#pending?.id ?? 'nothing'} is unanswered`)
    this.#pending = undefined
    this.#socket.destroy()
  }

  close () { this.#socket.destroy() }

  #check (isClosed) {
    const pending = this.#pending
    if (pending === undefined) return
    const answer = parseAnswer(this.#received)
    if (!answer.isComplete && !isClosed) return
    this.#pending = undefined
    const result = answer.isComplete
      ? { id: pending.id, status: answer.status, headers: answer.headers, body: answer.body }
      : { id: pending.id, status: 0, headers: {}, body: answer.body, bytes: this.#received.length }
    this.#received = Buffer.alloc(0)
    const retryAfter = result.headers['retry-after']
    record(this.name, result.status === 0
      ? `connection closed${this.#closedBy === undefined ? '' : ` (${this.#closedBy})`}: no complete answer to ${pending.id}, ${result.bytes} bytes received`
      : `gets ${result.status}${retryAfter === undefined ? '' : `, Retry-After ${retryAfter},`} for ${pending.id}${result.headers['heatherdoor-response-signature'] === undefined ? ', no proof' : ', with proof'}`)
    pending.resolve(result)
  }
}

/** Parses an answer with a length or in chunks. */
export function parseAnswer (bytes) {
  const end = bytes.indexOf('\r\n\r\n')
  if (end < 0) return { isComplete: false, body: Buffer.alloc(0) }
  const [statusLine, ...lines] = bytes.toString('latin1', 0, end).split('\r\n')
  const status = Number(statusLine.split(' ')[1])
  const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const rest = bytes.subarray(end + 4)
  if (headers['transfer-encoding'] === 'chunked') return { status, headers, ...parseChunks(rest) }
  const length = Number(headers['content-length'] ?? 0)
  return { status, headers, body: rest.subarray(0, length), isComplete: rest.length >= length }
}

function parseChunks (bytes) {
  const parts = []
  for (let at = 0; ;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    const size = lineEnd < 0 ? NaN : parseInt(bytes.toString('latin1', at, lineEnd), 16)
    if (Number.isNaN(size) || bytes.length < lineEnd + 2 + size + 2) return { body: Buffer.concat(parts), isComplete: false }
    if (size === 0) return { body: Buffer.concat(parts), isComplete: true }
    parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size))
    at = lineEnd + 2 + size + 2
  }
}
