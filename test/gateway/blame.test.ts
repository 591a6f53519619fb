import test from 'ava'
import fc from 'fast-check'
import { splitEvidence } from '../../src/gateway/evidence-messages.js'
import type { CrashEvidence } from '../../src/plugins/gateway/part-crashes.js'
import { PartCrashesPlugin, TRIAL_INTERVAL_MS } from '../../src/plugins/gateway/part-crashes.js'
import { PROPERTY } from './property.js'

const GUILTY = 'bad'
const TEAM = 't1'

/** Rules of the platform: requests with the part that may reach endpoints later than a time in ms after the fifth crash. */
const CRASHES_MAX = 5
const STABILITY_MS = 3_000
const REACHED_MAX = 3

/** Time in ms after the fifth or last crash from which sound requests must be served, and how many of them are judged. */
const SETTLED_MS = 2 * STABILITY_MS
const JUDGED_MIN = 20

function accuse (table: PartCrashesPlugin, crash: string, requests: ReadonlyArray<readonly string[]>, nowMs: number): CrashEvidence {
  return table.noteCrash(crash, 's', requests.map((parts, index) => ({ fingerprint: `f${index}`, team: TEAM, parts, ageMs: 10 })), nowMs)
}

function decide (table: PartCrashesPlugin, parts: readonly string[], nowMs: number): string {
  return table.decide({ parts, team: TEAM, rankForTrial: () => 0 }, nowMs).kind
}

// Guards against refusing sound requests for half a minute because a part of theirs was first seen beside the one that crashes endpoints.
test('a part first seen beside the one that crashes endpoints is served again within the time of a trial', t => {
  for (const others of [['one'], ['one', 'two'], Array.from({ length: 1_000 }, (_value, index) => `p${index}`)]) {
    for (const at of [0, Math.floor(others.length / 2), others.length]) {
      const table = PartCrashesPlugin.create()
      const guilty = [...others]
      guilty.splice(at, 0, GUILTY)
      accuse(table, 'e1/1', [guilty], 0)
      const refused: number[] = []
      for (let nowMs = 100; nowMs <= 10_000; nowMs += 100) {
        t.is(decide(table, guilty, nowMs), 'blocked', `${at} of ${guilty.length}`)
        if (decide(table, others, nowMs) === 'blocked') refused.push(nowMs)
        else table.noteBegun(others, TEAM, nowMs, nowMs)
      }
      t.true((refused.at(-1) ?? 0) < SETTLED_MS, `${at} of ${guilty.length}: refused until ${refused.at(-1)}`)
      t.is(decide(table, [GUILTY], 10_000), 'blocked', `${at} of ${guilty.length}`)
    }
  }
})

// Guards against trials that can tell nothing, or come before requests without the blocked part could clear the others.
test('a blocked part is tried before its block ends only while another one explains the crash as well', t => {
  const table = PartCrashesPlugin.create()
  accuse(table, 'e1/1', [[GUILTY], ['one', 'two']], 0)
  t.deepEqual(table.listBlocked(100), ['two'])
  const trials = {
    'in doubt, and nothing refused that has another suspect': decide(table, ['two'], 5_900),
    'with all suspects': decide(table, ['one', 'two', GUILTY], 6_000),
    'with another suspect, too soon': decide(table, ['one', 'two'], 3_900),
    'without another suspect': decide(table, ['two'], 4_000),
    'right after a trial': decide(table, ['two'], 4_100)
  }
  table.noteBegun(['one'], TEAM, 4_000, 4_200)
  table.noteBegun([GUILTY], TEAM, 4_000, 4_200)
  t.snapshot({ ...trials, 'no other suspect left': decide(table, ['two'], 20_000), 'block over': decide(table, ['two'], 30_000) })
})

/** Prompts of a property test: some requests of one kind, and what is in flight beside each that crashes an endpoint. */
const sound = fc.uniqueArray(fc.constantFrom<string>('a', 'b', 'c', 'd', 'e', 'f'), { minLength: 1, maxLength: 6 })
const step = fc.record({ parts: sound, isGuilty: fc.boolean(), guiltyAt: fc.nat(6), beside: fc.array(sound, { maxLength: 3 }), repeats: fc.integer({ min: 1, max: 12 }) })

// Guards against parts that crash endpoint after endpoint, or are refused for long by mistake, in whichever order and company they are first seen.
test('whatever is in flight, few requests with a part that crashes endpoints reach them, and sound requests are served soon after', t => {
  fc.assert(fc.property(fc.array(step, { minLength: 1, maxLength: 40 }), steps => {
    const table = PartCrashesPlugin.create()
    const crashedAtMs: number[] = []
    const asked: { readonly isGuilty: boolean, readonly isRefused: boolean, readonly atMs: number }[] = []
    let nowMs = 0
    for (const { parts, isGuilty, guiltyAt, beside, repeats } of steps) {
      const prompt = [...parts]
      if (isGuilty) prompt.splice(guiltyAt, 0, GUILTY)
      for (let turn = 0; turn < repeats; turn += 1) {
        nowMs += TRIAL_INTERVAL_MS / 4
        const isRefused = decide(table, prompt, nowMs) === 'blocked'
        asked.push({ isGuilty, isRefused, atMs: nowMs })
        if (isRefused) continue
        if (isGuilty) {
          crashedAtMs.push(nowMs)
          const running = beside.filter(other => decide(table, other, nowMs) !== 'blocked')
          accuse(table, `e${crashedAtMs.length}/1`, [prompt, ...running], nowMs)
          // They are sent again, elsewhere.
          for (const other of running) if (decide(table, other, nowMs + 1) !== 'blocked') table.noteBegun(other, TEAM, nowMs + 1, nowMs + 2)
        } else table.noteBegun(prompt, TEAM, nowMs, nowMs + 1)
      }
    }
    const settledAtMs = (crashedAtMs[CRASHES_MAX - 1] ?? crashedAtMs.at(-1) ?? 0) + SETTLED_MS
    const guiltyUntilMs = asked.findLast(({ isGuilty }) => isGuilty)?.atMs ?? 0
    const judged = asked.filter(({ isGuilty, atMs }) => !isGuilty && atMs >= settledAtMs && atMs <= guiltyUntilMs)
    const refused = judged.filter(({ isRefused }) => isRefused).length
    const reached = crashedAtMs.filter(atMs => atMs > (crashedAtMs[CRASHES_MAX - 1] ?? Infinity) + STABILITY_MS).length
    return reached <= REACHED_MAX && (judged.length < JUDGED_MIN || refused <= judged.length / 2)
  }), { ...PROPERTY, numRuns: 25 * PROPERTY.numRuns })
  t.pass()
})

const crash = fc.record({ before: fc.nat(900), after: fc.nat(900), isKnown: fc.boolean(), beside: fc.nat(300), lost: fc.infiniteStream(fc.boolean()) })

// Guards against parts or evidence that are dropped because a prompt has many parts, or a crash needs many datagrams.
test('another gateway learns of a part behind and before any number of others, with datagrams lost', t => {
  fc.assert(fc.property(crash, ({ before, after, isKnown, beside, lost }) => {
    const [seeing, other] = [PartCrashesPlugin.create(), PartCrashesPlugin.create()]
    const sound = Array.from({ length: before + after }, (_value, index) => `s${index}`)
    const guilty = [...sound.slice(0, before), GUILTY, ...sound.slice(before)]
    if (isKnown) seeing.noteBegun(sound, TEAM, 0, 1)
    let sent = splitEvidence([accuse(seeing, 'e1/1', [guilty, Array.from({ length: beside }, (_value, index) => `b${index}`)], 10)])
    while (sent.length > 0) {
      const repeated = sent.filter(() => lost.next().value)
      for (const list of sent) if (!repeated.includes(list)) for (const item of list) other.merge(item, 20)
      sent = repeated
    }
    if (decide(other, guilty, 30) !== 'blocked') return beside > 0
    if (sound.length === 0) return true
    const served = [30, SETTLED_MS].map(nowMs => decide(other, sound, nowMs))
    return isKnown ? served.every(kind => kind === 'allowed') : served[1] !== 'blocked'
  }), { ...PROPERTY, numRuns: PROPERTY.numRuns / 4 })
  t.pass()
})
