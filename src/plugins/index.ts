/** Imports every plug-in module; the order is the order of handling. */

import './tokens/tokens.js'
import './quarantine/plugin.js'
import './outcomes/plugin.js'
import './admission/plugin.js'
