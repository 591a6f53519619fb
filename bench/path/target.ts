/** Target of the path benchmark: responds to each request with 2 KB immediately. */

import { createServer } from 'node:http'

const RESPONSE_BODY = Buffer.alloc(2048, 'x')

createServer((request, response) => {
  request.resume()
  request.on('end', () => {
    if (request.url === '/v1/load') response.writeHead(404).end()
    else response.writeHead(200, { 'content-type': 'text/plain', 'content-length': RESPONSE_BODY.length }).end(RESPONSE_BODY)
  })
}).listen(Number(process.argv[2]), '127.0.0.1')
