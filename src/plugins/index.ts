/** Imports all plug-in modules for their registration; events are dispatched in the order of these imports. */

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
