/** Baseline of the path benchmark: a proxy on node:http and undici that forwards each request to one target without any decision. */

import { createServer } from 'node:http'
import { Agent, request as send } from 'undici'

const [port, target] = process.argv.slice(2)
const agent = new Agent({ connections: 256 })

createServer((request, response) => {
  const chunks: Buffer[] = []
  request.on('data', (chunk: Buffer) => { chunks.push(chunk) })
  request.on('end', () => {
    send(`${target ?? ''}${request.url ?? '/'}`, {
      dispatcher: agent,
      method: request.method === 'POST' ? 'POST' : 'GET',
      headers: { 'content-type': request.headers['content-type'] ?? 'text/plain' },
      body: chunks.length === 0 ? null : Buffer.concat(chunks)
    }).then(async upstreamResponse => {
      response.writeHead(upstreamResponse.statusCode, { 'content-type': 'text/plain' })
      for await (const chunk of upstreamResponse.body) response.write(chunk)
      response.end()
    }, () => { response.writeHead(502).end() })
  })
}).listen(Number(port), '127.0.0.1')
