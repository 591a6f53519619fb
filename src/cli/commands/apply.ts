import { formatFaults, loadConfigurationFile } from '../../settings/index.js'
import { applyChange } from '../change.js'
import type { CommandContext } from '../context.js'
import { buildParts, buildStates } from '../parts.js'
import { EXIT, buildFailure } from '../result.js'
import type { CommandResult } from '../result.js'

/** Arguments of `apply`. */
export interface ApplyArguments {
  readonly file: string
  /** Version that the operator saw. */
  readonly expect: number
  readonly by: string
  readonly reason: string
}

/**
 * Puts a configuration file in force. Domain states and draining hosts stay as they are.
 *
 * @param context - platform and clock
 * @param args - file and conditions
 * @returns the result for the operator
 */
export async function runApply (context: CommandContext, args: ApplyArguments): Promise<CommandResult> {
  return await loadConfigurationFile(args.file).caseOf({
    Left: async faults => buildFailure(EXIT.badInput, formatFaults(faults), { faults }),
    Right: async file => {
      const parts = buildParts(file)
      return await applyChange(context, {
        command: 'apply',
        by: args.by,
        reason: args.reason,
        expect: args.expect,
        chooseTarget: ({ root }) => ({ kind: 'target', target: { parts, ...buildStates(file, root) } })
      })
    }
  })
}
