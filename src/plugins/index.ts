/** Imports every plug-in; the order of imports is the order of dispatch. */

import './configuration/plugin.js'
import './membership/plugin.js'
import './routing/plugin.js'
import './requests/plugin.js'
