import test from 'ava'
import { request } from 'undici'
import { Engine } from '../../standins/engine/engine.js'

// Guards against streams that differ between engines, which a resumed stream would show.
test('engines give the same stream, whole and resumed', async t => {
  const engines = [await Engine.start({ stepMs: 1 }), await Engine.start({ stepMs: 1 })]
  t.teardown(async () => { for (const engine of engines) await engine.stop() })
  const run = async (url: string, resumeFrom: number): Promise<string> => {
    const answer = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { 'heatherdoor-resume-from': String(resumeFrom) },
      body: JSON.stringify({ model: 'm', stream: true, max_tokens: 4, messages: [{ role: 'user', content: 'oil' }] })
    })
    return await answer.body.text()
  }
  const whole = await run(engines[0]!.url, 0)
  t.snapshot(whole)
  t.is(whole.split('\n\n').slice(2).join('\n\n'), await run(engines[1]!.url, 2))
})
