/**
 * One part of a prompt crashes each worker that begins to write an answer on it, right after the second
 * event of the answer. Requests with that part go on coming at all machines, beside sound ones.
 */

import { setTimeout as wait } from 'node:timers/promises'
import { ModelSite } from '../common-3/model-site.js'
import { runCase } from '../common-3/record.js'
import { BAD_PART, FIRST_PART, OTHER_PART, STABILITY_WINDOW_MS } from '../common-3/site.js'
import { isLost } from '../common-3/streams.js'

/** Events of an answer on the part that are out when its worker crashes. */
const EVENTS_BEFORE_CRASH = 2

const SOUND_GAP_MS = 100
const BAD_GAP_MS = 800
const CALM_MS = 10_000
const TROUBLE_MS = 75_000

/** What the rule allows. */
const CRASHES = 5
const LATE_REQUESTS_MAX = 3

await runCase(import.meta.url, async (record, hasTrouble) => {
  const hasBadPart = ({ parts }) => parts.slice(0, -1).includes(BAD_PART)
  const crashesAtMs = []
  const badArrivalsAtMs = []
  const site = await ModelSite.start(record, {
    crashesAfter: run => hasBadPart(run) ? EVENTS_BEFORE_CRASH : undefined,
    handleArrival: ({ id }, run) => {
      if (!hasBadPart(run)) return
      badArrivalsAtMs.push(record.nowMs)
      record.write(`${run.requestId}, with the part, reaches ${id}`)
    },
    handleCrash: () => { crashesAtMs.push(record.nowMs) }
  })
  const { callers } = site
  callers.start('sound', SOUND_GAP_MS, () => [`${FIRST_PART}:40`, ...(Math.random() < 0.5 ? [] : [`${OTHER_PART}:200`])])
  await wait(CALM_MS)
  const troubleAtMs = record.nowMs
  if (hasTrouble) callers.start('bad', BAD_GAP_MS, () => [`${FIRST_PART}:40`, `${BAD_PART}:200`])
  record.say(hasTrouble ? 'requests with the part begin to come' : 'no requests with the part come')
  await wait(TROUBLE_MS)
  const endsAtMs = record.nowMs
  await callers.finish()

  record.say(`${crashesAtMs.length} crashes${crashesAtMs.length === 0 ? '' : `: ${crashesAtMs.map(atMs => ((atMs - troubleAtMs) / 1000).toFixed(1)).join(' ')} s after the first such request`}`)
  const calm = callers.count('sound', 0, troubleAtMs)
  const all = callers.count('sound', troubleAtMs, endsAtMs)
  record.say(`sound requests before: ${calm.begun} of ${calm.sent} began, ${calm.whole} were answered whole`)
  record.say(`sound requests from then on: ${all.begun} of ${all.sent} began, ${all.whole} were answered whole`)
  let late = 0
  if (crashesAtMs.length >= CRASHES) {
    const fifthAtMs = crashesAtMs[CRASHES - 1]
    late = badArrivalsAtMs.filter(atMs => atMs > fifthAtMs + STABILITY_WINDOW_MS).length
    record.say(`BUDGET: ${late} requests with the part reached workers later than ${STABILITY_WINDOW_MS} ms after the fifth crash; ${LATE_REQUESTS_MAX} may`)
    const after = callers.count('sound', fifthAtMs + 2 * STABILITY_WINDOW_MS, endsAtMs)
    record.say(`LOST: ${after.begun} of ${after.sent} sound requests with the same first part and key began later than ${2 * STABILITY_WINDOW_MS} ms after it: ${isLost(calm, after) ? 'broken as well' : 'not broken'}`)
  }
  site.stop()
  return late > LATE_REQUESTS_MAX
})
