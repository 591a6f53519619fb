import type { Context, PluginOptions } from '../../kernel/plugin.js'
import type { EndpointState } from '../../protocol/messages.js'

/**
 * Builds the state that an endpoint process reports in its heartbeats from the
 * ports of its plug-ins.
 *
 * @param options - options with the name of the service
 * @param leaving - whether the process is leaving
 * @param context - provides the ports
 * @returns the state; undefined without an admission plug-in or a service
 */
export function buildEndpointState (options: PluginOptions, leaving: boolean, context: Context): EndpointState | undefined {
  const admission = context.findPort('admission')
  if (admission === undefined || options.service === undefined) return undefined
  const outcomes = context.findPort('outcomes')
  const movedTo = outcomes?.getMovedTo()
  const stepMs = context.findPort('experts')?.getStepMs()
  return {
    service: options.service,
    window: outcomes?.getWindow() ?? 0,
    ...admission.describeState(),
    leaving,
    ...(movedTo === undefined ? {} : { movedTo }),
    ...(stepMs === undefined ? {} : { stepMs })
  }
}
