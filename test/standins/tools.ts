import { Agent, request } from 'undici'

/** Time after which a call counts as unanswered, in ms. */
const SILENT_MS = 1000

/** Status and body of an answer. */
export type Answer = readonly [status: number | 'broken' | 'silent', body?: unknown]

interface CallOptions {
  readonly headers?: Record<string, string>
  /** Connection to send the call on. */
  readonly kept?: Agent
  /** Time until the call is given up, in ms. */
  readonly limitMs?: number
}

/** Sends one call on a new connection or a kept one; `broken` is a closed connection, `silent` one without an answer. */
export async function sendCall (
  url: string, method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, body?: unknown,
  options: CallOptions = {}
): Promise<Answer> {
  const { headers = {}, kept, limitMs = SILENT_MS } = options
  const dispatcher = kept ?? new Agent()
  try {
    const answer = await request(`${url}${path}`, {
      method, headers, body: body === undefined ? null : JSON.stringify(body), dispatcher, signal: AbortSignal.timeout(limitMs)
    })
    const text = await answer.body.text()
    return [answer.statusCode, answer.headers['content-type'] === 'application/json' ? JSON.parse(text) : text]
  } catch (error) {
    return [(error as Error).name === 'TimeoutError' ? 'silent' : 'broken']
  } finally {
    if (kept === undefined) await dispatcher.destroy()
  }
}

/** Waits until a check holds, at most 10 s. */
export async function waitFor (isDone: () => boolean | Promise<boolean>): Promise<void> {
  for (let tries = 0; tries < 2000; tries += 1) {
    if (await isDone()) return
    await new Promise(resolve => { setTimeout(resolve, 5) })
  }
  throw new Error('the check did not hold within 10 s')
}
