/** Registers the plug-ins of a gateway by importing them. */

import './routes.js'
import './endpoints.js'
import './peers.js'
import './retries.js'
import './crashes.js'
import './part-crashes.js'
import './outages.js'
import './named-limits.js'
import './cold-limits.js'
import './selection.js'
import './retry-after.js'
import './liveness.js'
