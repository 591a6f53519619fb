import test from 'ava'
import fc from 'fast-check'
import { createChallenge, signChallenge, verifyProof } from '../../src/edge/security/cluster-proof.js'
import type { ProofSubject } from '../../src/edge/security/cluster-proof.js'
import { createCredential, OPERATOR_PREFIX, OperatorKeys, TEAM_PREFIX, verifyTeamHeader } from '../../src/edge/security/credentials.js'
import type { Team } from '../../src/kernel/configuration.js'
import { parseKeyHash } from '../../src/settings/configuration.js'

const key = createCredential(TEAM_PREFIX, 'alpha')
const second = createCredential(TEAM_PREFIX, 'alpha')
const team: Team = { name: 'alpha', weight: 1, services: [], keys: [key, second].map(({ stored }) => parseKeyHash(stored)) }
const findTeam = (name: string): Team | undefined => name === 'alpha' ? team : undefined

// Guards against accepting a wrong or malformed key or one of another team, and against refusing a team's second key.
test('team keys are verified', t => {
  t.is(verifyTeamHeader(`Bearer ${key.text}`, findTeam)?.name, 'alpha')
  t.is(verifyTeamHeader(`bearer ${second.text}`, findTeam)?.name, 'alpha')
  const wrong = [
    undefined, '', 'Bearer', `Basic ${key.text}`, `Bearer ${key.text.slice(0, -1)}`, `Bearer ${key.text}0`, `Bearer ${key.text} `,
    `Bearer ${key.text.replace('alpha', 'beta')}`, `Bearer ${key.text.replace('hd_', 'hdop_')}`,
    `Bearer ${createCredential(TEAM_PREFIX, 'alpha').text}`, `Bearer ${team.keys[0]?.hash ?? ''}`
  ]
  for (const header of wrong) t.is(verifyTeamHeader(header, findTeam), undefined, header)
  t.is(verifyTeamHeader(`Bearer ${key.text}`, () => ({ ...team, keys: [] })), undefined)
  fc.assert(fc.property(fc.string(), text => verifyTeamHeader(`Bearer ${text}`, findTeam) === undefined), { seed: 1 })
})

// Guards against a team key that is accepted on the operations listener, and against malformed lines being silently skipped.
test('operator credentials are verified', t => {
  const operator = createCredential(OPERATOR_PREFIX, 'eleni')
  const keys = OperatorKeys.create(`# operators\n\neleni ${operator.stored}\n`)
  t.is(keys.verifyHeader(`Bearer ${operator.text}`), 'eleni')
  t.is(keys.verifyHeader(`Bearer ${operator.text.replace('eleni', 'minh')}`), undefined)
  t.is(keys.verifyHeader(`Bearer ${key.text}`), undefined)
  t.is(keys.verifyHeader(undefined), undefined)
  t.throws(() => OperatorKeys.create(`eleni ${operator.stored}\neleni ${operator.text}`), { message: 'line 2 of the operators\' credentials is not <name> <salt>:<hash>' })
})

// Guards against a proof that is replayed on another connection, reflected to its sender or used by another process.
test('the proof of the cluster secret is bound to connection and process', t => {
  const subject: ProofSubject = { challenge: createChallenge(), side: 'dialler', process: { id: 'e1', role: 'entry', incarnation: 5 } }
  const proof = signChallenge('secret', subject)
  t.true(verifyProof('secret', subject, proof))
  const others: readonly ProofSubject[] = [
    { ...subject, challenge: createChallenge() },
    { ...subject, side: 'listener' },
    { ...subject, process: { ...subject.process, id: 'e2' } },
    { ...subject, process: { ...subject.process, role: 'endpoint' } },
    { ...subject, process: { ...subject.process, incarnation: 6 } }
  ]
  for (const other of others) t.false(verifyProof('secret', other, proof))
  t.false(verifyProof('other', subject, proof))
  t.false(verifyProof('secret', subject, ''))
})
