/** Counters that are derived from log events. */

import type { LogEvent } from '../../kernel/log-events.js'
import type { LogFields } from '../log/logger.js'
import type { Metrics } from './metrics.js'

/**
 * Increments the counter that belongs to a log event, if there is one.
 *
 * @param event - event that was logged
 * @param fields - fields of its log line
 * @param metrics - holds the counters
 */
export function countLogEvent (event: LogEvent, fields: LogFields, metrics: Metrics): void {
  switch (event) {
    case 'endpoint-ejected': return metrics.count('ejections')
    case 'peer-disconnected': return metrics.count('peers_lost')
    case 'configuration-accepted': return metrics.count('configurations', 'accepted')
    case 'configuration-ignored': return metrics.count('configurations', 'ignored')
    case 'configuration-rejected': return metrics.count('configurations', 'rejected')
    case 'map-decided': return metrics.count('map_changes', fields['committed'] === true ? 'commit' : 'abort')
    case 'rebalance-declined': return metrics.count('map_changes', 'declined')
    default:
  }
}
