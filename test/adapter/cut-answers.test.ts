import test from 'ava'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { JsonClient } from '../../platform/http.js'

const BODY = '{"revision":7,"objects":[{"name":"e1"}]}'
const HEADS: Readonly<Record<string, string>> = {
  length: `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${BODY.length}\r\n\r\n`,
  chunks: 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n',
  connection: 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n'
}
const CLOSES: Readonly<Record<string, (socket: Socket, part: string) => void>> = {
  end: (socket, part) => { socket.end(part) },
  reset: (socket, part) => { socket.write(part, () => { socket.resetAndDestroy() }) }
}

// Guards against an operators' report on the side of the store, reports and orders: an answer that is cut anywhere counts as an empty or short one.
test('the client of the store and of engines takes no answer that is cut for one', async t => {
  let send: (socket: Socket) => void = () => {}
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => { send(socket) })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const address = { host: '127.0.0.1', port: (server.address() as AddressInfo).port }
  const client = JsonClient.create()
  const faults: string[] = []
  for (const [framing, head] of Object.entries(HEADS)) {
    const body = framing === 'chunks' ? `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n` : BODY
    for (const [how, close] of Object.entries(CLOSES)) {
      for (let cut = 0; cut < head.length + body.length; cut += 1) {
        send = socket => { close(socket, `${head}${body}`.slice(0, cut)) }
        const response = await client.send({ address, method: 'GET', path: '/', timeoutMs: 1_000 })
        // An empty body is the answer to an order, which carries no value.
        const isAccepted = response !== undefined && response.body !== undefined && !(framing === 'connection' && cut === head.length)
        if (isAccepted) faults.push(`${framing}, ${how} after ${cut} of ${head.length}: ${JSON.stringify(response)}`)
      }
    }
  }
  client.close()
  server.close()
  t.deepEqual(faults, [])
})
