import { request } from 'undici'
import type { Processes } from '../../demo/processes.js'
import type { DeploymentFiles } from './deployment.js'

const READY_TIMEOUT_MS = 20_000
const POLL_INTERVAL_MS = 100

/**
 * Applies a deployment's configuration and waits until its first entry serves requests.
 *
 * @param processes - starts the command line
 * @param files - files of the deployment
 * @throws Error when the configuration cannot be applied, or when the platform or the entry is not ready within 20 s
 */
export async function waitUntilReady (processes: Processes, files: DeploymentFiles): Promise<void> {
  await waitUntil('the platform answers', async () => (await request(`${files.platformUrl}/counters`)).statusCode === 200)
  const applied = await processes.run('src/bin/heatherdoor.js', ['apply', files.getPath('configuration.toml'), '--expect', '0', '--by', 'bench', '--reason', 'bench', '--settings', files.getPath('cli.toml')])
  if (applied.code !== 0) throw new Error(`apply exited with code ${applied.code}: ${applied.output}`)
  await waitUntil('homes are offered', async () => {
    const answer = await request(`${files.findEntryUrl(0)}/v1/address`, { headers: { authorization: `Bearer ${files.teamKey}` } })
    const body = await answer.body.json() as { readonly key_tokens?: readonly unknown[] }
    return answer.statusCode === 200 && (body.key_tokens?.length ?? 0) > 0
  })
}

/**
 * @param what - condition, as named in the error
 * @param check - repeated until it returns true; an exception counts as false
 * @throws Error when the condition is not true within 20 s
 */
export async function waitUntil (what: string, check: () => Promise<boolean>): Promise<void> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS
  while (performance.now() < deadlineMs) {
    if (await check().catch(() => false)) return
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
  }
  throw new Error(`timed out after ${READY_TIMEOUT_MS} ms waiting until ${what}`)
}
