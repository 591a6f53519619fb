/** Stand-in for requesters: sends one request and reads its answer, a plain one or a stream. */

import { request as openRequest } from 'node:http'
import { PORTS } from './deployment.js'

let sent = 0

export function makeId () {
  sent += 1
  return `${Date.now().toString(16)}${sent.toString(16).padStart(6, '0')}`
}

/**
 * @param options - gateway, id, method, path, host, key, body, deadlineMs, headers, agent, localAddress
 * @returns status (undefined without an answer), headers, body, whether it is complete, and why not
 */
export async function send ({ ip, id = makeId(), method = 'GET', path, host, key, body, deadlineMs = 8000, headers = {}, agent = false, onData }) {
  return await new Promise(resolve => {
    const startedAtMs = performance.now()
    const result = { id, status: undefined, headers: {}, body: '', isComplete: false, reason: '', elapsedMs: 0 }
    let isDone = false
    const finish = reason => {
      if (isDone) return
      isDone = true
      clearTimeout(timer)
      result.reason = reason
      result.elapsedMs = performance.now() - startedAtMs
      request.destroy()
      resolve(result)
    }
    const request = openRequest({
      host: ip,
      port: PORTS.front,
      method,
      path,
      agent,
      setHost: false,
      headers: { Host: host, 'Heatherdoor-Request-Id': id, 'Heatherdoor-Deadline-Ms': String(deadlineMs), ...(key === undefined ? {} : { Authorization: `Bearer ${key}` }), ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }), ...headers }
    }, response => {
      result.status = response.statusCode
      result.headers = response.headers
      response.on('data', chunk => {
        result.body += String(chunk)
        onData?.(result)
      })
      response.on('end', () => {
        result.isComplete = response.complete
        finish('')
      })
      response.on('error', error => { finish(error.message) })
    })
    const timer = setTimeout(() => { finish('gave up') }, deadlineMs + 100)
    request.on('error', error => { finish(error.message) })
    request.end(body)
  })
}
