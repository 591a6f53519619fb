import test from 'ava'
import type { SelectionRequest } from '../../src/plugins/gateway/selection.js'
import type { EndpointView } from '../../src/plugins/gateway/endpoints.js'
import { ColdLimitsPlugin } from '../../src/plugins/gateway/cold-limits.js'
import { PermitBucket } from '../../src/plugins/gateway/permits.js'
import { ENGINE, buildSelf, buildView, createSelection } from './views.js'

function createRequest (candidates: readonly EndpointView[], changes: Partial<SelectionRequest> = {}): SelectionRequest {
  const { countElsewhere = () => 0 } = changes
  const inFlightElsewhere = candidates.reduce((sum, { record: { id } }) => sum + countElsewhere(id), 0)
  return { candidates, exclude: new Set(), avoidedDomains: new Set(), getAccess: () => ({ kind: 'unlimited' }), fraction: 0, countsAgeMs: 0, durationMs: undefined, pickFloat: () => 0, reach: 'any', distance: 0.4, inFlightElsewhere, countElsewhere, isUnresponsive: () => false, getPace: () => 1, ...changes }
}

/** Chooses endpoints for requests that stay in flight and counts them by endpoint. */
function fill (request: SelectionRequest, count: number): Record<string, number> {
  const selection = createSelection()
  for (let at = 0; at < count; at += 1) {
    const selected = selection.choose(request, at)
    if (selected !== undefined) selection.noteStart(selected.endpoint)
  }
  return { ...selection.listInFlight() }
}

// Guards against choosing an endpoint that is slow, unresponsive, busy with requests of other gateways or in another failure domain while others are free.
test('requests go to the endpoint with the shortest expected wait', t => {
  const views = ['e1', 'e2', 'e3', 'e4'].map(id => buildView(id))
  t.snapshot({
    'all alike': fill(createRequest(views), 8),
    'one slow': fill(createRequest(views, { getPace: id => id === 'e1' ? 4 : 1 }), 8),
    'one unresponsive': fill(createRequest(views, { isUnresponsive: id => id === 'e2' }), 9),
    'all unresponsive': fill(createRequest(views, { isUnresponsive: () => true }), 4),
    'one busy elsewhere': fill(createRequest(views, { countElsewhere: id => id === 'e3' ? 3 : 0 }), 8),
    'one in another domain': fill(createRequest([buildView('e1', { domain: 'b' }), buildView('e2')]), 3),
    'one tried already': fill(createRequest(views.slice(0, 2), { exclude: new Set(['e1']) }), 2)
  })
})

// Guards against sending every request first to an endpoint that accepts no connections.
test('an unreachable endpoint is avoided for exponentially growing times', t => {
  const selection = createSelection()
  const views = [buildView('e1'), buildView('e2')]
  const tried: number[] = []
  for (let at = 0; at < 6_000; at += 50) {
    const selected = selection.choose(createRequest(views), at)!
    selection.noteStart(selected.endpoint)
    const { id } = selected.endpoint.record
    if (id === 'e1') tried.push(at)
    selection.noteEnd(id, id === 'e1' ? 'unreachable' : 'ok', 20, at)
  }
  t.snapshot(tried)
})

test('gateways that know of no load do not all choose the same endpoint', t => {
  const views = ['e1', 'e2', 'e3', 'e4'].map(id => buildView(id))
  const chosen = [0, 0.2, 0.3, 0.6, 0.9].map(fraction => createSelection().choose(createRequest(views, { fraction }), 0)?.endpoint.record.id)
  t.deepEqual(chosen, ['e1', 'e1', 'e2', 'e3', 'e4'])
})

// Guards against a cold endpoint that crashes because every gateway sends it the full rate.
test('all gateways together stay within the rate of a cold endpoint', t => {
  const gateways = Array.from({ length: 8 }, (_value, index) => ColdLimitsPlugin.create(buildSelf(`g${index}`)))
  const names = gateways.map((_gateway, index) => `g${index}`)
  const agent = PermitBucket.create(0)
  const starts: number[] = []
  for (const limits of gateways) limits.setBounds({ overshoot: 1.5, slack: 5 })
  for (let at = 0; at < 4_000; at += 10) {
    for (const limits of gateways) {
      const access = limits.decide({ endpoint: buildView('e1', { coldUntilMs: 10_000 }), service: { name: 's', coldPerS: 36, engine: ENGINE }, gateways: names, named: undefined }, at)
      if (access.kind === 'permit' && agent.reserve(access.rate, 0, at).kind === 'granted') starts.push(at)
    }
  }
  const most = Math.max(...starts.map(from => starts.filter(at => at >= from && at < from + 1_000).length))
  t.true(most <= 36, `${most} in a second`)
  t.true(most >= 18, `${most} in a second`)
})
