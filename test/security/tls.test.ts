import test from 'ava'
import { once } from 'node:events'
import { createServer as createHttpsServer } from 'node:https'
import { copyFileSync, mkdtempSync, rmSync, utimesSync } from 'node:fs'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { connect, createServer } from 'node:tls'
import { Agent, request } from 'undici'
import { TlsSource, buildTlsConnector, loadTlsOptions } from '../../src/edge/security/tls.js'

const FIXTURES = 'test/security/fixtures'

// Guards against ignoring a renewed certificate, using a certificate before its key is renewed, and closing open connections.
test('new connections use renewed certificate files and open ones stay open', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'heatherdoor-'))
  const files = { certFile: join(folder, 'tls.crt'), keyFile: join(folder, 'tls.key') }
  const events: string[] = []
  let stamp = 1
  const writeRenewed = (name: string, file: string): void => {
    copyFileSync(join(FIXTURES, name), file)
    utimesSync(file, stamp, stamp++)
  }
  writeRenewed('first.crt', files.certFile)
  writeRenewed('first.key', files.keyFile)
  const source = TlsSource.create({ files, onReload: () => events.push('reload'), onError: reason => events.push(reason.replaceAll(`${folder}/`, '')) })
  const server = createServer(source.getOptions(), socket => { socket.pipe(socket) })
  source.addServer(server)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const open = async () => {
    const socket = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', rejectUnauthorized: false })
    await once(socket, 'secureConnect')
    return { socket, subject: socket.getPeerCertificate().subject.CN }
  }

  const opened = await open()
  t.is(opened.subject, 'first')
  source.checkFiles()
  writeRenewed('second.crt', files.certFile)
  source.checkFiles()
  const duringRenewal = await open()
  t.is(duringRenewal.subject, 'first')
  writeRenewed('second.key', files.keyFile)
  source.checkFiles()
  const renewed = await open()
  t.is(renewed.subject, 'second')
  t.deepEqual(events, ['tls.key is not the key of tls.crt', 'reload'])

  opened.socket.write('still open')
  const [answer] = await once(opened.socket, 'data') as [Buffer]
  t.is(answer.toString(), 'still open')
  for (const { socket } of [opened, duringRenewal, renewed]) {
    // A client that is destroyed with a session ticket unread resets its connection.
    socket.resume()
    socket.end()
    await once(socket, 'close')
  }
  source.stop()
  server.close()
  rmSync(folder, { recursive: true })
})

// Guards against outbound connections that accept any server, or that keep using a replaced CA.
test('outbound connections use a renewed CA', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'heatherdoor-'))
  const caFile = join(folder, 'ca.crt')
  copyFileSync(join(FIXTURES, 'second.crt'), caFile)
  utimesSync(caFile, 1, 1)
  const files = { certFile: join(FIXTURES, 'first.crt'), keyFile: join(FIXTURES, 'first.key') }
  const server = createHttpsServer(loadTlsOptions(files), (_request, response) => { response.end('ok') }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const url = `https://127.0.0.1:${(server.address() as AddressInfo).port}`
  const source = TlsSource.create({ files: { caFile } })
  const agent = new Agent({ connect: buildTlsConnector(source, 1000) })
  await t.throwsAsync(request(url, { dispatcher: agent }), { message: /self-signed|self signed|unable to verify/ })
  copyFileSync(join(FIXTURES, 'first.crt'), caFile)
  utimesSync(caFile, 2, 2)
  source.checkFiles()
  t.is(await (await request(url, { dispatcher: agent })).body.text(), 'ok')
  await agent.destroy()
  source.stop()
  server.close()
  rmSync(folder, { recursive: true })
})

// Guards against a listener that starts with a key that does not match its certificate, or with unreadable files.
test('mismatched or unreadable TLS files are refused at the start', t => {
  t.throws(() => TlsSource.create({ files: { certFile: `${FIXTURES}/first.crt`, keyFile: `${FIXTURES}/second.key` } }), { message: /is not the key of/ })
  t.throws(() => TlsSource.create({ files: { caFile: `${FIXTURES}/missing.crt` } }), { message: /ENOENT/ })
  t.throws(() => TlsSource.create({ files: { certFile: `${FIXTURES}/first.key`, keyFile: `${FIXTURES}/first.key` } }))
})
