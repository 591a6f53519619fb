/** Stand-in for requesters: each request has its own id, time budget and connection. */

import { request as openRequest } from 'node:http'

let sent = 0

/**
 * Sends a request to a gateway.
 *
 * @returns what was sent and answered; status 0 when the connection ended without a complete answer
 */
export async function send ({ host, port, name }, { path, method = 'GET', key, deadlineMs = 1_500, body = '', hostName = 'h.example', headers = {} }) {
  sent += 1
  const id = `q${sent.toString(16).padStart(6, '0')}`
  const result = { id, gateway: name, path, key, sentAtMs: Date.now(), endedAtMs: 0, status: 0, proof: undefined, body: '' }
  return await new Promise(resolve => {
    const finish = () => {
      clearTimeout(timer)
      result.endedAtMs = Date.now()
      resolve(result)
    }
    const request = openRequest({
      host,
      port,
      path,
      method,
      agent: false,
      headers: {
        Host: hostName, 'Heatherdoor-Request-Id': id, 'Heatherdoor-Deadline-Ms': String(deadlineMs), ...(key === undefined ? {} : { Authorization: `Bearer ${key}` }), 'Content-Length': String(Buffer.byteLength(body)), ...headers
      }
    }, response => {
      const chunks = []
      response.on('data', chunk => { chunks.push(chunk) })
      response.on('error', () => {})
      response.on('close', () => {
        if (response.complete) Object.assign(result, { status: response.statusCode, proof: response.headers['heatherdoor-response-signature'], body: Buffer.concat(chunks).toString('latin1') })
        finish()
      })
    })
    const timer = setTimeout(() => { request.destroy() }, deadlineMs + 500)
    request.on('error', finish)
    request.end(body)
  })
}
