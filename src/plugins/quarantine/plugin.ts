/** Requests that crash endpoints. */

import { registerPlugin } from '../../kernel/plugin.js'

registerPlugin({
  name: 'quarantine',
  roles: ['entry', 'endpoint'],
  create: () => ({
    name: 'quarantine',
    subscribesTo: [],
    ports: { quarantine: { isRefused: () => false, isSuspect: () => false } },
    handle: () => {}
  })
})
