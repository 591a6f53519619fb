/** Imports the plug-ins of a gateway. */

import './routes.js'
import './endpoints.js'
import './peers.js'
import './retries.js'
import './crashes.js'
import './placing.js'
import './advice.js'
import './silence.js'
