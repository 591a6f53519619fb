/** Requests with a part that crashes workers reach one worker after the other, because the id of the part has 40 hexadecimal digits. */

import { createHash } from 'node:crypto'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { playCrashingPart } from '../common-2/crashing-part.js'
import { hasTrouble, runCase } from '../common-2/record.js'

/** Ids that a requester takes from the content of the parts. */
const [SHARED, CRASHING] = ['the shared instructions', 'a document'].map(text => createHash('sha1').update(text).digest('hex'))

await runCase(dirname(fileURLToPath(import.meta.url)), async record => await playCrashingPart({ sharedParts: [`${SHARED}:410`], crashingPart: CRASHING, hasTrouble, record }))
