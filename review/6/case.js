/** Requests with a part that crashes workers reach one worker after the other, because the part stands behind 33 others. */

import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { playCrashingPart } from '../common-2/crashing-part.js'
import { hasTrouble, runCase } from '../common-2/record.js'

/** Parts that all requests of the caller share, as in a long session; the crashing part follows them. */
const SHARED_PARTS = Array.from({ length: 33 }, (_, index) => `5c1e${index.toString(16).padStart(4, '0')}:40`)

await runCase(dirname(fileURLToPath(import.meta.url)), async record => await playCrashingPart({ sharedParts: SHARED_PARTS, crashingPart: 'bad0bad0', hasTrouble, record }))
