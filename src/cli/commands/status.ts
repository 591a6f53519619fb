import type { CommandContext, OperationsResult } from '../context.js'
import { EXIT, buildDone, buildFailure } from '../result.js'
import type { CommandResult } from '../result.js'
import { formatTable } from '../table.js'

/** Fields of `/v1/status` that the table shows. */
interface Status {
  readonly process?: { readonly id?: string, readonly domain?: string }
  readonly configuration?: { readonly version?: number, readonly in_force_for_ms?: number }
  readonly failure_domains?: readonly { readonly name: string, readonly state: string }[]
  readonly draining_hosts?: readonly string[]
  readonly leaving?: boolean
  readonly peers?: readonly unknown[]
  readonly in_flight?: number
}

const COLUMNS = ['entry', 'failure domain', 'version', 'for', 'in flight', 'peers', 'out', 'draining', 'state']

/**
 * Queries each entry for its state.
 *
 * @param context - settings with the entries' URLs
 * @returns a table; exit code 1 when an entry does not answer or versions differ
 */
export async function runStatus (context: CommandContext): Promise<CommandResult> {
  const urls = context.settings.operationsUrls
  if (urls.length === 0) return buildFailure(EXIT.badInput, 'The settings have no operations_urls.')
  context.environment.reportProgress(`asking ${urls.length} entries`)
  const responses = await Promise.all(urls.map(async url => ({ url, result: await context.environment.readOperations(context.settings, `${url}/v1/status`) })))
  const text = formatTable([COLUMNS, ...responses.map(({ url, result }) => buildRow(url, result))])
  const json = { entries: responses }
  const failed = responses.filter(({ result }) => result.kind !== 'answered' || result.status !== 200).length
  if (failed > 0) return buildFailure(EXIT.failed, `${text}${failed} of ${urls.length} entries did not give their status.`, json)
  const versions = new Set(responses.map(({ result }) => result.kind === 'answered' ? (result.body as Status).configuration?.version : undefined))
  if (versions.size > 1) return buildFailure(EXIT.failed, `${text}The entries have different versions of the configuration.`, json)
  return buildDone(text, json)
}

function buildRow (url: string, result: OperationsResult): readonly string[] {
  if (result.kind === 'unreachable') return [url, '', '', '', '', '', '', '', `unreachable: ${result.reason}`]
  if (result.status === 401) return [url, '', '', '', '', '', '', '', 'refuses the operator credential']
  if (result.status !== 200) return [url, '', '', '', '', '', '', '', `answers ${result.status}`]
  const status = result.body as Status
  return [
    status.process?.id ?? url,
    status.process?.domain ?? '',
    String(status.configuration?.version ?? ''),
    `${Math.round((status.configuration?.in_force_for_ms ?? 0) / 1000)} s`,
    String(status.in_flight ?? ''),
    String(status.peers?.length ?? ''),
    formatList((status.failure_domains ?? []).filter(({ state }) => state === 'out').map(({ name }) => name)),
    formatList(status.draining_hosts ?? []),
    status.leaving === true ? 'leaving' : 'in service'
  ]
}

function formatList (names: readonly string[]): string {
  return names.length === 0 ? '-' : names.join(',')
}
