import test from 'ava'
import { readdirSync } from 'node:fs'
import { join } from 'node:path'
import { runCheck } from '../../src/cli/commands/check.js'
import { buildParts } from '../../src/cli/parts.js'
import { loadConfigurationFile } from '../../src/settings/index.js'

// Guards against samples that operators cannot use: with faults, settings that differ from the configuration or missing processes.
for (const deployment of ['thessaloniki', 'banh-xe']) {
  test(`samples of ${deployment}`, t => {
    const folder = join('samples', deployment)
    const list = (name: string): readonly string[] => readdirSync(join(folder, name)).map(file => join(folder, name, file))
    const entries = list('entries')
    const endpoints = list('endpoints')
    const file = join(folder, 'configuration.toml')
    const checked = runCheck([file, join(folder, 'cli.toml'), ...entries, ...endpoints])
    t.is(checked.code, 0, checked.text)
    t.is(entries.length, 8)
    t.is(endpoints.length, 19)
    const configuration = loadConfigurationFile(file).unsafeCoerce()
    t.is(configuration.entries.length, 8)
    t.is(configuration.teams.length, 10)
    t.is(configuration.endpoints.filter(({ group }) => group === undefined).length, 3)
    t.is(configuration.groups.reduce((sum, { ranks }) => sum + ranks, 0), 16)
    t.true(buildParts(configuration).every(({ json }) => Buffer.byteLength(json) < 1_000_000))
  })
}

// Guards against a check that does not report settings that contradict the configuration.
test('settings that differ from the configuration', t => {
  t.snapshot(runCheck(['samples/thessaloniki/configuration.toml', 'samples/banh-xe/endpoints/order-desk-1.toml', 'test/settings/fixtures/other-entry.toml', 'test/settings/fixtures/other-endpoint.toml']).text)
})
