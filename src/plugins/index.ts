/** Imports every plug-in module; the order of imports is the order of dispatch. */

import './tokens/tokens.js'
import './configuration/plugin.js'
import './membership/plugin.js'
import './quarantine/plugin.js'
import './outcomes/plugin.js'
import './admission/plugin.js'
import './routing/plugin.js'
import './requests/plugin.js'
import './addresses/index.js'
import './experts/endpoint-plugin.js'
import './experts/holder-plugin.js'
