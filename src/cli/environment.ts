/** Access to the platform, the entries, the clock and randomness. */

import { randomBytes } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { setTimeout as waitMs } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { PlatformClient } from '../edge/platform/client.js'
import { loadTlsOptions } from '../edge/security/tls.js'
import type { CliSettings } from '../settings/index.js'
import type { OperationsResult, CommandEnvironment } from './context.js'
import type { Progress } from './progress.js'

/** Time limit for the headers and for the body of an entry's response, in ms. */
const OPERATIONS_TIMEOUT_MS = 5000

/**
 * @param progress - shows what the command is doing
 * @returns the environment of commands outside of tests
 */
export function buildEnvironment (progress: Progress): CommandEnvironment {
  return {
    openStore: ({ platform }) => {
      const tls = platform.tls === undefined ? undefined : loadTlsOptions(platform.tls)
      return PlatformClient.create({
        urls: platform.urls,
        timeoutMs: platform.timeoutMs,
        ...(tls === undefined ? {} : { tls: () => tls }),
        ...(platform.credentialFile === undefined ? {} : { credential: readCredential(platform.credentialFile) })
      })
    },
    readOperations,
    readGateway,
    getTime: () => new Date().toISOString(),
    createRandomHex: length => randomBytes(Math.ceil(length / 2)).toString('hex').slice(0, length),
    wait: async ms => { await waitMs(ms) },
    reportProgress: text => { progress.update(text) }
  }
}

async function readOperations (settings: CliSettings, url: string): Promise<OperationsResult> {
  const agent = new Agent(settings.tls === undefined ? {} : { connect: loadTlsOptions(settings.tls) })
  try {
    const response = await request(url, {
      dispatcher: agent,
      headersTimeout: OPERATIONS_TIMEOUT_MS,
      bodyTimeout: OPERATIONS_TIMEOUT_MS,
      headers: settings.operatorCredentialFile === undefined
        ? {}
        : { authorization: `Bearer ${readCredential(settings.operatorCredentialFile)}` }
    })
    const text = await response.body.text()
    return { kind: 'answered', status: response.statusCode, body: response.statusCode === 200 ? JSON.parse(text) as unknown : undefined }
  } catch (error) {
    return { kind: 'unreachable', reason: error instanceof Error ? error.message : String(error) }
  } finally {
    await agent.destroy()
  }
}

async function readGateway (url: string, headers: Readonly<Record<string, string>>): Promise<OperationsResult> {
  const agent = new Agent()
  try {
    const response = await request(url, { dispatcher: agent, headersTimeout: OPERATIONS_TIMEOUT_MS, bodyTimeout: OPERATIONS_TIMEOUT_MS, headers })
    const text = await response.body.text()
    const isJson = response.headers['content-type'] === 'application/json'
    return { kind: 'answered', status: response.statusCode, body: isJson ? JSON.parse(text) as unknown : undefined }
  } catch (error) {
    return { kind: 'unreachable', reason: error instanceof Error ? error.message : String(error) }
  } finally {
    await agent.destroy()
  }
}

function readCredential (file: string): string {
  return readFileSync(file, 'utf8').trim()
}
