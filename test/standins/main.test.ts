import { spawn } from 'node:child_process'
import { once } from 'node:events'
import test from 'ava'
import { sendCall } from './tools.js'

// Guards against stand-ins that work only inside a test process: the demo and benchmarks start them as processes.
for (const [name, ...args] of [
  ['platform', '--credential', 's'],
  ['engine', '--warm', '--step-ms', '1', '--checks-fencing'],
  ['service', '--warm', '--service-ms', '1']
] as const) {
  test(`the ${name} stand-in runs as a process`, async t => {
    const child = spawn(process.execPath, [`dist/standins/${name}/main.js`, '--port', '0', ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
    t.teardown(() => { child.kill('SIGKILL') })
    const [line] = await once(child.stdout, 'data') as [Buffer]
    const url = line.toString().trim()
    t.regex(url, /^http:\/\/127\.0\.0\.1:\d+$/)
    t.is((await sendCall(url, 'GET', '/counters'))[0], 200)
    child.kill('SIGTERM')
    t.deepEqual(await once(child, 'exit'), [0, null])
  })

  test(`the ${name} stand-in refuses unknown options and wrong values`, async t => {
    const child = spawn(process.execPath, [`dist/standins/${name}/main.js`, '--prot', '0', '--port', 'x'], { stdio: ['ignore', 'ignore', 'pipe'] })
    t.teardown(() => { child.kill('SIGKILL') })
    const [line] = await once(child.stderr, 'data') as [Buffer]
    t.regex(line.toString(), /prot, port;/)
    t.deepEqual(await once(child, 'exit'), [2, null])
  })
}
