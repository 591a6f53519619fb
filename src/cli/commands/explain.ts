import type { CommandContext, OperationsResult } from '../context.js'
import type { TraceStep } from '../../kernel/ports.js'
import { EXIT, buildDone, buildFailure } from '../result.js'
import type { CommandResult } from '../result.js'

interface Explanation {
  readonly steps?: readonly TraceStep[]
}

/**
 * Queries the entries for the steps of a request.
 *
 * @param context - settings with the entries' URLs
 * @param requestId - value of the `heatherdoor-request-id` header
 * @returns the steps, with times since the first one
 */
export async function runExplain (context: CommandContext, requestId: string): Promise<CommandResult> {
  const urls = context.settings.operationsUrls
  if (urls.length === 0) return buildFailure(EXIT.badInput, 'The settings have no operations_urls.')
  context.environment.reportProgress(`asking ${urls.length} entries`)
  const responses = await Promise.all(urls.map(async url => ({
    url,
    result: await context.environment.readOperations(context.settings, `${url}/v1/explain/${encodeURIComponent(requestId)}`)
  })))
  const found = responses.find(({ result }) => listSteps(result).length > 0)
  if (found === undefined) {
    const failedUrls = responses.filter(({ result }) => result.kind === 'unreachable' || result.status !== 404).map(({ url }) => url)
    const hint = failedUrls.length === 0 ? 'Entries keep the steps of recent requests only.' : `No explanation came from ${failedUrls.join(', ')}.`
    return buildFailure(EXIT.failed, `No entry has the steps of request ${requestId}. ${hint}`, { requestId })
  }
  const steps = listSteps(found.result)
  const startMs = steps[0]?.atMs ?? 0
  const lines = steps.map(({ atMs, step, detail }) => `  ${String(Math.round(atMs - startMs)).padStart(8)} ms  ${step}  ${detail}`.trimEnd())
  return buildDone(`Request ${requestId} at ${found.url}\n${lines.join('\n')}\n`, { requestId, entry: found.url, steps })
}

function listSteps (result: OperationsResult): readonly TraceStep[] {
  return result.kind === 'answered' && result.status === 200 ? (result.body as Explanation).steps ?? [] : []
}
