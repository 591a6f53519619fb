/** Gauges whose values are read from the kernel's ports when the metrics are fetched. */

import type { Kernel } from '../../kernel/kernel.js'
import type { Metrics } from './metrics.js'

/**
 * @param kernel - provides the values through its ports
 * @param metrics - receives the current values
 */
export function observeGauges (kernel: Kernel, metrics: Metrics): void {
  const configuration = kernel.getPort('configuration').getCurrent()
  const membership = kernel.getPort('membership')
  metrics.observe('configuration_version', configuration.version)
  metrics.observe('members', membership.listEntries().length)
  metrics.observe('peers', membership.listPeers().length)
  if (kernel.self.role === 'entry') metrics.observe('requests_in_flight', kernel.getPort('requests').countInFlight())
  else observeRank(kernel, metrics)
}

function observeRank (kernel: Kernel, metrics: Metrics): void {
  const experts = kernel.getPort('experts')
  const rank = experts.describeState()
  if (rank === undefined) return
  const stepMs = experts.getStepMs()
  if (rank.mapVersion !== undefined) metrics.observe('map_version', rank.mapVersion, rank.group)
  if (stepMs !== undefined) metrics.observe('step_ms', stepMs, rank.group)
}
