import test from 'ava'
import type { ExecutionContext } from 'ava'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Either } from 'purify-ts'
import { formatFaults, loadCliSettings, loadConfigurationFile, loadEndpointSettings, loadEntrySettings } from '../../src/settings/index.js'
import type { SettingsFault } from '../../src/settings/index.js'
import { CONFIGURATION, ENDPOINT, ENTRY } from './valid-texts.js'

type Loader = (path: string) => Either<readonly SettingsFault[], unknown>
type Edit = readonly [from: string, to: string]

/* Applies the edits to the text, loads it and returns the report of its faults. */
function formatReport (load: Loader, text: string, ...edits: readonly Edit[]): string {
  const folder = mkdtempSync(join(tmpdir(), 'heatherdoor-'))
  try {
    const path = join(folder, 'file.toml')
    const edited = edits.reduce((current, [from, to]) => {
      if (!current.includes(from)) throw new Error(`the text does not contain ${from}`)
      return current.replace(from, to)
    }, text)
    writeFileSync(path, edited)
    return load(path).caseOf({ Left: formatFaults, Right: () => 'no fault\n' }).replaceAll(`${folder}/`, '')
  } finally {
    rmSync(folder, { recursive: true })
  }
}

function checkCases (t: ExecutionContext, load: Loader, text: string, cases: Readonly<Record<string, readonly Edit[]>>): void {
  t.is(formatReport(load, text), 'no fault\n')
  for (const [name, edits] of Object.entries(cases)) t.snapshot(formatReport(load, text, ...edits), name)
}

// Guards against faults in the settings of an entry that are not reported, or reported at the wrong location.
test('faults of entry settings', t => {
  checkCases(t, loadEntrySettings, ENTRY, {
    'unknown key': [['body_max_bytes', 'body_max_byte']],
    'unknown key without a similar known key': [['body_max_bytes', 'colour']],
    'unknown key at the top level': [['leave_deadline_ms', 'leave_deadline']],
    'unknown table': [['[operations_listener]', '[operation_listener]']],
    'missing key': [['process_id = "entry-a-1"\n', '']],
    'wrong type': [['port = 7443', 'port = "7443"']],
    'port out of range': [['port = 7443', 'port = 70000']],
    'fraction instead of an integer': [['address_hold_ms = 30000', 'address_hold_ms = 0.5']],
    'bad address': [['ip = "10.0.0.1"', 'ip = "10.0.0.256"']],
    'URL with a path': [['http://10.0.0.1:8080', 'http://10.0.0.1:8080/v1']],
    'empty list': [['urls = ["http://10.9.0.1:80"]', 'urls = []']],
    'fault in a list': [['peer_address = "10.0.0.2:7443"', 'peer_address = "10.0.0.2"']],
    'fault in a nested table': [['cert_file = "a.crt"\n', '']],
    'certificate without a key': [['# [platform.tls]', '[platform.tls]\ncert_file = "a.crt"']],
    'two listeners on one port': [['port = 7443', 'port = 8080']],
    'table instead of text': [['host = "host-1"', 'host = { name = "host-1" }']],
    'invalid TOML': [['port = 7443', 'port = = 7443']],
    'several faults in one run': [['port = 7443', 'port = 0'], ['host-1', 'Host 1'], ['idle_timeout_ms', 'idle_timeout_s'], ['process_id', 'proces_id']]
  })
})

// Guards against faults in the settings of an endpoint process that are not reported.
test('faults of endpoint settings', t => {
  checkCases(t, loadEndpointSettings, ENDPOINT, {
    'cold cap above warm cap': [['cold_cap = 2', 'cold_cap = 9']],
    'cap of zero': [['warm_cap = 8', 'warm_cap = 0']],
    'negative cap': [['cold_cap = 2', 'cold_cap = -2']],
    'group without a rank': [['rank = 0\n', '']],
    'rank without a group': [['group = "g"\n', '']],
    'flag as text': [['checks_fencing = true', 'checks_fencing = "yes"']]
  })
})

// Guards against the acceptance of a configuration that refers to unknown names or contradicts itself.
test('faults of configuration files', t => {
  checkCases(t, loadConfigurationFile, CONFIGURATION, {
    'unknown profile': [['profile = "text"', 'profile = "txt"']],
    'unknown failure domain of an endpoint': [['failure_domain = "b"', 'failure_domain = "c"']],
    'unknown failure domain of a profile': [['failure_domains = ["a", "b"]', 'failure_domains = ["a", "bb"]']],
    'unknown service of an endpoint': [['service = "counter"\npeer', 'service = "conter"\npeer']],
    'unknown service of a team': [['services = ["guidance", "counter"]', 'services = ["guidance", "counters"]']],
    'duplicate id': [['id = "worker-1"', 'id = "worker-0"']],
    'duplicate peer address': [['10.0.1.2:7443', '10.0.1.1:7443']],
    'duplicate team': [['name = "beta"', 'name = "alpha"']],
    'duplicate model': [['kind = "plain"', 'kind = "model"\nmodel = "guidance-1"']],
    'cold cap above warm cap': [['cold_cap = 4', 'cold_cap = 40']],
    'rank missing from a group': [['ranks = 2', 'ranks = 12']],
    'rank given twice': [['rank = 1', 'rank = 0']],
    'rank beyond the group': [['rank = 1', 'rank = 5']],
    'rank without a group': [['group = "g"\nrank = 1', 'rank = 1']],
    'unknown group': [['group = "g"\nrank = 1', 'group = "h"\nrank = 1']],
    'group of another service': [['service = "guidance"\nranks', 'service = "counter"\nranks']],
    'too few slots': [['slots_per_rank = 6', 'slots_per_rank = 3']],
    'model service without a model': [['model = "guidance-1"\n', '']],
    'host in two failure domains': [['host = "host-5"', 'host = "host-3"']],
    'unknown priority': [['priority = "urgent"', 'priority = "high"']],
    'share above 1': [['team_share_max = 0.5', 'team_share_max = 1.5']],
    'unit missing from a key': [['deadline_ms = 60000', 'deadline = 60']],
    'malformed key hash is not shown': [['keys = []', `keys = ["${'0'.repeat(32)}:${'0'.repeat(63)}"]`]],
    'faults of the schema and of references in one run': [['profile = "text"', 'profile = "txt"'], ['weight = 4', 'weight = 0'], ['cold_cap = 4', 'cold_cap = 40'], ['region = "north"', 'regio = "north"']]
  })
})

// Guards against faults in the settings of the command line that are not reported.
test('faults of command line settings', t => {
  checkCases(t, loadCliSettings, 'operations_urls = ["http://10.0.0.1:9090"]\n\n[platform]\nurls = ["http://10.9.0.1:80"]\n', {
    'no platform': [['[platform]\nurls = ["http://10.9.0.1:80"]\n', '']],
    'unknown key and bad URL': [['operations_urls', 'operation_urls'], ['http://10.9', 'ftp://10.9']]
  })
})

// Guards against a missing file that is reported as an internal error.
test('a file that does not exist', t => {
  t.is(loadCliSettings('missing.toml').caseOf({ Left: formatFaults, Right: () => '' }),
    'missing.toml: found no readable file (ENOENT), expected a TOML file\n')
})

// Guards against renamed or lost fields, and against relative paths that depend on the working directory.
test('valid settings', t => {
  const folder = mkdtempSync(join(tmpdir(), 'heatherdoor-'))
  const load = (read: Loader, text: string): unknown => {
    const path = join(folder, 'file.toml')
    writeFileSync(path, text)
    return JSON.parse(JSON.stringify(read(path).unsafeCoerce()).replaceAll(folder, 'FOLDER'))
  }
  t.snapshot(load(loadEntrySettings, ENTRY), 'entry')
  t.snapshot(load(loadEndpointSettings, ENDPOINT), 'endpoint')
  t.snapshot(load(loadConfigurationFile, CONFIGURATION), 'configuration')
  rmSync(folder, { recursive: true })
})
