import test from 'ava'
import fc from 'fast-check'
import { Tokens } from '../../src/plugins/tokens/tokens.js'

const tokens = Tokens.create('secret')
const SEED = 11

const home = fc.record({ id: fc.string({ minLength: 1, unit: 'grapheme' }), incarnation: fc.nat(), window: fc.nat(), domain: fc.constant('a') })
const own = fc.stringMatching(/^[A-Za-z0-9._~:-]{1,128}$/)

// Guards against ids with dots or other signs being read as other parts of the key.
test('a key names the home that its token was issued for', t => {
  fc.assert(fc.property(fc.string({ minLength: 1 }), home, own, (service, of, part) => {
    const text = `${tokens.formatToken(service, of)}.${part}`
    t.deepEqual(tokens.parseKey(service, text), { home: of.id, incarnation: of.incarnation, window: of.window, text })
  }), { seed: SEED })
})

// Guards against keys that callers make up or change: a changed window would lift the start limit.
test('a changed, foreign or incomplete key is refused', t => {
  fc.assert(fc.property(home, own, fc.nat(), fc.constantFrom('A', '0', '.', '_'), (of, part, at, sign) => {
    const token = tokens.formatToken('s', of)
    const changed = token.slice(0, at % token.length) + sign + token.slice(at % token.length + 1)
    if (changed !== token) t.is(tokens.parseKey('s', `${changed}.${part}`), undefined)
    t.is(tokens.parseKey('other', `${token}.${part}`), undefined)
    t.is(Tokens.create('other').parseKey('s', `${token}.${part}`), undefined)
    for (const wrong of ['', '.', '.a b', `.${'x'.repeat(129)}`]) t.is(tokens.parseKey('s', token + wrong), undefined)
  }), { seed: SEED })
})
