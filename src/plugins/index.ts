/** Registers every plug-in; imported once by each process. */

import './experts/endpoint-plugin.js'
import './experts/holder-plugin.js'
