import { Agent, request } from 'undici'

/** Default timeout of a call in ms. */
const CALL_TIMEOUT_MS = 1000

/** Status and body of a response; `broken` is a closed connection, `silent` a timeout. */
export type CallResult = readonly [status: number | 'broken' | 'silent', body?: unknown]

interface CallOptions {
  readonly headers?: Record<string, string>
  /** Agent whose connections are reused; a new connection by default. */
  readonly agent?: Agent
  /** Timeout of the call in ms. */
  readonly timeoutMs?: number
}

/** Sends one call on a new connection, or on one of the given agent. */
export async function sendCall (
  url: string, method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, body?: unknown,
  options: CallOptions = {}
): Promise<CallResult> {
  const { headers = {}, agent, timeoutMs = CALL_TIMEOUT_MS } = options
  const dispatcher = agent ?? new Agent()
  try {
    const response = await request(`${url}${path}`, {
      method, headers, body: body === undefined ? null : JSON.stringify(body), dispatcher, signal: AbortSignal.timeout(timeoutMs)
    })
    const text = await response.body.text()
    return [response.statusCode, response.headers['content-type'] === 'application/json' ? JSON.parse(text) : text]
  } catch (error) {
    return [(error as Error).name === 'TimeoutError' ? 'silent' : 'broken']
  } finally {
    if (agent === undefined) await dispatcher.destroy()
  }
}

/** Polls a condition until it holds, for at most 10 s. */
export async function waitFor (isDone: () => boolean | Promise<boolean>): Promise<void> {
  for (let tries = 0; tries < 2000; tries += 1) {
    if (await isDone()) return
    await new Promise(resolve => { setTimeout(resolve, 5) })
  }
  throw new Error('condition not met within 10 s')
}
