/** A part of a prompt that is sound is refused for half a minute, because the first request that came with it also held a part that crashes workers. */

import { dirname } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { CrashingDeployment } from '../common-2/crashing-part.js'
import { BOUNDS } from '../common-2/deployment.js'
import { hasTrouble, runCase } from '../common-2/record.js'

const CRASHING_PART = 'bad0bad0'
const SHARED_PART = '5c1e07a2:410'

/** Time in ms for which requests with the crashing part come, and the time between two of them. */
const CRASHING_MS = 28_000
const CRASHING_GAP_MS = 1_500

/** Time in ms for which sound requests come, and the time between two of them. */
const SOUND_MS = 90_000
const SOUND_GAP_MS = 150

/** Time in ms after the last request with the crashing part from which the disruption counts as over. */
const SETTLED_MS = 12_000

/** Least number of sound requests, during the disruption and outside of it, with which the rule is judged. */
const JUDGED_MIN = 20

await runCase(dirname(fileURLToPath(import.meta.url)), async record => {
  const deployment = await CrashingDeployment.create(CRASHING_PART, record)
  try {
    // The first request with the shared part is one that crashes its worker.
    const crashing = hasTrouble ? deployment.askCrashing([`${CRASHING_PART}:800`, SHARED_PART], CRASHING_GAP_MS, CRASHING_MS) : Promise.resolve(Date.now())
    await wait(300)
    await deployment.askSound([SHARED_PART], SOUND_GAP_MS, SOUND_MS)
    const endedAtMs = await crashing
    const runs = await deployment.finish()

    const { crashes } = deployment
    const fromMs = hasTrouble ? (crashes[4] ?? crashes.at(-1)) + 2 * BOUNDS.stability_window_ms : Infinity
    const during = { sent: 0, begun: 0 }
    const outside = { sent: 0, begun: 0 }
    for (const { id, kind, sentAtMs } of deployment.results) {
      if (kind !== 'sound') continue
      const span = sentAtMs >= fromMs && sentAtMs <= endedAtMs ? during : !hasTrouble || sentAtMs > endedAtMs + SETTLED_MS ? outside : undefined
      if (span === undefined) continue
      span.sent += 1
      if (runs.has(id)) span.begun += 1
    }
    const isBroken = during.sent >= JUDGED_MIN && outside.sent >= JUDGED_MIN && during.begun / during.sent < 0.5 * outside.begun / outside.sent
    const told = `of ${during.sent} sound requests with the same key and first part ${during.begun} began while such requests came, from ${2 * BOUNDS.stability_window_ms} ms after the last of ${crashes.length} crashes; outside ${outside.begun} of ${outside.sent}`
    return { broken: isBroken ? [told] : [], notes: [told, `own ends: ${JSON.stringify(deployment.ends)}`] }
  } finally {
    await deployment.close()
  }
})
