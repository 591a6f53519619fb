import test from 'ava'
import fc from 'fast-check'
import { Tokens } from '../../src/plugins/tokens/tokens.js'

const tokens = Tokens.create('secret')
const SEED = 11

const home = fc.record({ id: fc.string({ minLength: 1, unit: 'grapheme' }), incarnation: fc.nat(), window: fc.nat(), domain: fc.constant('a') })
const callerPart = fc.stringMatching(/^[A-Za-z0-9._~:-]{1,128}$/)

// Guards against parsing dots or other special characters in an id as parts of the key.
test('a key names the home that its token was issued for', t => {
  fc.assert(fc.property(fc.string({ minLength: 1 }), home, callerPart, (service, issuedHome, part) => {
    const text = `${tokens.formatToken(service, issuedHome)}.${part}`
    t.deepEqual(tokens.parseKey(service, text), { home: issuedHome.id, incarnation: issuedHome.incarnation, window: issuedHome.window, text })
  }), { seed: SEED })
})

// Guards against keys that callers forge or modify: a modified window would bypass the start limit.
test('a changed, foreign or incomplete key is refused', t => {
  fc.assert(fc.property(home, callerPart, fc.nat(), fc.constantFrom('A', '0', '.', '_'), (issuedHome, part, at, character) => {
    const token = tokens.formatToken('s', issuedHome)
    const changed = token.slice(0, at % token.length) + character + token.slice(at % token.length + 1)
    if (changed !== token) t.is(tokens.parseKey('s', `${changed}.${part}`), undefined)
    t.is(tokens.parseKey('other', `${token}.${part}`), undefined)
    t.is(Tokens.create('other').parseKey('s', `${token}.${part}`), undefined)
    for (const suffix of ['', '.', '.a b', `.${'x'.repeat(129)}`]) t.is(tokens.parseKey('s', token + suffix), undefined)
  }), { seed: SEED })
})
