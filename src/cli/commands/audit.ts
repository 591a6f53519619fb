import { ROOT_KEY } from '../../kernel/configuration.js'
import type { ConfigurationRoot } from '../../kernel/configuration.js'
import { AuditTrail, formatEntry } from '../audit.js'
import type { CommandContext } from '../context.js'
import { buildDone } from '../result.js'
import type { CommandResult } from '../result.js'

/**
 * Prints the last changes, after adding the entry of the version in force if it is missing.
 *
 * @param context - platform
 * @param last - number of changes
 * @returns the entries, oldest first
 */
export async function runAudit (context: CommandContext, last: number): Promise<CommandResult> {
  const trail = AuditTrail.create(context.store, context.environment.auditLimits)
  context.environment.reportProgress('reading the audit trail')
  const { value } = await context.store.read(ROOT_KEY)
  await trail.addMissing(value === undefined ? undefined : JSON.parse(value) as ConfigurationRoot)
  const entries = await trail.list(last)
  return buildDone(entries.length === 0 ? 'No change was made yet.\n' : entries.map(formatEntry).join(''), { entries })
}
