import test from 'ava'
import { readFileSync } from 'node:fs'
import { connect } from 'node:tls'
import { waitUntil } from '../../bench/processes/ready.js'
import { LiveDeployment } from './live-deployment.js'

/** Opens a TLS connection and reads the subject of the listener's certificate. */
async function readSubject (live: LiveDeployment, port: number): Promise<string> {
  const read = (name: string): Buffer => readFileSync(live.files.getPath(name))
  return await new Promise((resolve, reject) => {
    const socket = connect({ port, host: '127.0.0.1', ca: read('ca.crt'), cert: read('host.crt'), key: read('host.key') }, () => {
      resolve(String(socket.getPeerCertificate().subject.CN))
      socket.destroy()
    })
    socket.once('error', reject)
  })
}

/** Counts the entries that offer `counter-0`. */
async function countOffers (live: LiveDeployment): Promise<number> {
  const offers = await Promise.all([0, 1].map(async entry => await live.listTokens(entry)))
  return offers.flat().filter(({ home }) => home === 'counter-0').length
}

async function listSubjects (live: LiveDeployment): Promise<readonly string[]> {
  const { callers, peers, operations } = live.files.findEntryPorts(0)
  const endpoint = live.files.findEndpointPorts(0)
  return await Promise.all([callers, peers, operations, endpoint.peers, endpoint.operations].map(async port => await readSubject(live, port)))
}

// Guards against listeners or diallers that ignore their TLS files, or that keep using the old files after a renewal.
test.serial('all connections use TLS, and new ones use a renewed certificate', async t => {
  const live = await LiveDeployment.start({ tls: true })
  try {
    t.deepEqual(await listSubjects(live), Array.from({ length: 5 }, () => 'first'))
    t.is((await live.sendBooking(0, await live.createKey('counter-0', 'k'))).status, 201)
    const status = await live.runCommand('status')
    t.is(status.code, 0, status.output)
    t.deepEqual([...new Set(live.collectClientSubjects())], ['first'])

    live.renewCertificate('second')
    await waitUntil('every listener presents the new certificate', async () => (await listSubjects(live)).every(subject => subject === 'second'))
    await waitUntil('every dialler presents the new certificate', async () => {
      await live.sendCompletion(0, 'again').catch(() => undefined)
      return live.collectClientSubjects().every(subjects => subjects.endsWith('second'))
    })
    live.signal('counter-0', 'SIGKILL')
    await waitUntil('the old home is no longer offered', async () => await countOffers(live) === 0)
    live.startProcess('counter-0')
    await waitUntil('the new home is offered', async () => await countOffers(live) === 2)
    t.is((await live.sendBooking(0, await live.createKey('counter-0', 'l'))).status, 201)
    t.is((await live.runCommand('domain', 'out', 'north', '--by', 'eleni', '--reason', 'drill')).code, 0)
  } finally {
    await live.kill()
  }
})
